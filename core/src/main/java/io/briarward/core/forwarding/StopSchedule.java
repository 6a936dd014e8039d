package io.briarward.core.forwarding;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides which requests a stopping node still takes, and by when it has answered all of them.
 *
 * <p>Callers need some time to notice that the node stops, so it takes all requests until then.
 * Later ones come on connections that callers have kept, and can be sent to other nodes at once; it
 * takes only those that surely end in time. Immutable and thread-safe.
 *
 * @param noticedAtMillis when callers have noticed that the node stops, in milliseconds
 * @param answerByMillis when the node ends the requests that are still in flight, in milliseconds
 */
public record StopSchedule(long noticedAtMillis, long answerByMillis) {
  /** Validates the components. */
  public StopSchedule {
    checkArgument(
        noticedAtMillis <= answerByMillis,
        "noticedAtMillis is %s, expected <= %s",
        noticedAtMillis,
        answerByMillis);
  }

  /**
   * Returns whether to take a request that has just arrived.
   *
   * @param endsByMillis when the request has ended at the latest, in milliseconds
   */
  public boolean accepts(long nowMillis, long endsByMillis) {
    return nowMillis < noticedAtMillis || endsByMillis <= answerByMillis;
  }
}
