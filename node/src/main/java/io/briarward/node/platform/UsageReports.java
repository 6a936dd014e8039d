package io.briarward.node.platform;

import com.google.common.collect.ImmutableMap;
import io.reactivex.rxjava3.core.Completable;

/** The platform's interface that accepts one usage report per window for all organisations. */
public interface UsageReports {
  /**
   * Sends the report of a window.
   *
   * <p>Idempotent: repeating a report without changes has no effect.
   *
   * @param window the index of the window, counted from the Unix epoch of the wall clock
   * @param requests the number of requests that started to run, by organisation
   * @param holder the id of the VM that holds the lease
   * @param fencingNumber the fencing number of its lease
   */
  Completable report(
      long window, ImmutableMap<String, Long> requests, String holder, long fencingNumber);
}
