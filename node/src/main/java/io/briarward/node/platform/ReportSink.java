package io.briarward.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.core.usage.SendOutcome;
import io.reactivex.rxjava3.core.Single;

/** The platform's interface that accepts usage reports. */
@FunctionalInterface
public interface ReportSink {
  /**
   * Sends the frozen figures of a window.
   *
   * @param windowStartMillis the start of the window in milliseconds since the Unix epoch
   */
  Single<SendOutcome> send(
      String organisation, long windowStartMillis, JsonNode figures, long fencingNumber);
}
