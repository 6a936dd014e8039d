package io.briarward.node.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.core.usage.SendOutcome;
import io.reactivex.rxjava3.core.Single;

/** The platform's interface that accepts one usage report per organisation and window. */
@FunctionalInterface
public interface ReportSink {
  /**
   * Sends the frozen figures of an organisation's window.
   *
   * @param windowStartMillis the start of the window in milliseconds since the Unix epoch
   * @param figures the figures as JSON
   * @param fencingNumber the fencing number of the sender's lease
   */
  Single<SendOutcome> send(
      String organisation, long windowStartMillis, JsonNode figures, long fencingNumber);
}
