package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

/**
 * Tracks one outstanding store operation: its time-out, and the back-off after failures.
 *
 * <p>Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class OperationTracker {
  private final long timeoutMillis;
  private final Backoff backoff;
  private long lastOperation;
  private boolean outstanding;
  private long sentMillis;
  private int failures;
  private long notBeforeMillis = Long.MIN_VALUE;

  private OperationTracker(long timeoutMillis, Backoff backoff) {
    this.timeoutMillis = timeoutMillis;
    this.backoff = checkNotNull(backoff, "backoff");
  }

  /**
   * Creates a tracker without an outstanding operation.
   *
   * @param timeoutMillis the time after which an unanswered operation counts as failed, > 0
   * @param backoff the delays after consecutive failures
   */
  public static OperationTracker create(long timeoutMillis, Backoff backoff) {
    checkArgument(timeoutMillis > 0, "timeoutMillis is %s, expected > 0", timeoutMillis);
    return new OperationTracker(timeoutMillis, backoff);
  }

  /** Fails the outstanding operation if it has timed out, and returns whether it did. */
  public boolean expire(long nowMillis) {
    boolean timedOut = outstanding && nowMillis - sentMillis >= timeoutMillis;
    return timedOut && fail(lastOperation, nowMillis, 0);
  }

  /** Returns whether an operation may begin: none is outstanding and the back-off has elapsed. */
  public boolean ready(long nowMillis) {
    return !outstanding && nowMillis >= notBeforeMillis;
  }

  /** Returns whether no operation is outstanding. */
  public boolean idle() {
    return !outstanding;
  }

  /** Begins an operation and returns its number. */
  public long begin(long nowMillis) {
    checkState(!outstanding, "operation %s is already outstanding", lastOperation);
    lastOperation++;
    outstanding = true;
    sentMillis = nowMillis;
    return lastOperation;
  }

  /**
   * Handles a result, and returns whether it belongs to the outstanding operation.
   *
   * @param operation the number of the operation that the result belongs to
   */
  public boolean accept(long operation) {
    if (!outstanding || operation != lastOperation) {
      return false;
    }
    outstanding = false;
    failures = 0;
    return true;
  }

  /**
   * Handles a failure, and returns whether it belongs to the outstanding operation.
   *
   * @param operation the number of the operation that failed
   * @param retryAfterMillis the minimum delay before the next operation, 0 if none was given
   */
  public boolean fail(long operation, long nowMillis, long retryAfterMillis) {
    if (!outstanding || operation != lastOperation) {
      return false;
    }
    outstanding = false;
    failures++;
    notBeforeMillis = nowMillis + Math.max(retryAfterMillis, backoff.delayMillis(failures));
    return true;
  }
}
