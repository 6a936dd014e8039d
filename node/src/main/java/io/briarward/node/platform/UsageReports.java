package io.briarward.node.platform;

import com.google.common.collect.ImmutableMap;
import io.reactivex.rxjava3.core.Completable;

/** Takes the usage of short windows of the wall clock, for all organisations at once. */
public interface UsageReports {
  /**
   * Reports a window; an exact repeat has no effect.
   *
   * @param window the number of the window, counted from the Unix epoch
   * @param requests the number of requests that began to run, by organisation
   * @param holder the VM that holds the lease
   * @param fencingNumber the number of its lease
   */
  Completable report(
      long window, ImmutableMap<String, Long> requests, String holder, long fencingNumber);
}
