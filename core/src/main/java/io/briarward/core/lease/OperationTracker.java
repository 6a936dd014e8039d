package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

/**
 * Follows one store operation at a time: its timeout, and the delay after failures.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class OperationTracker {
  private final long timeoutMillis;
  private final Backoff backoff;
  private long number;
  private boolean outstanding;
  private long sentMillis;
  private int failures;
  private long notBeforeMillis = Long.MIN_VALUE;

  private OperationTracker(long timeoutMillis, Backoff backoff) {
    this.timeoutMillis = timeoutMillis;
    this.backoff = checkNotNull(backoff, "backoff");
  }

  /**
   * Returns a tracker without an operation.
   *
   * @param timeoutMillis when an operation without an answer counts as failed, above 0
   * @param backoff the delays after failures in a row
   */
  public static OperationTracker create(long timeoutMillis, Backoff backoff) {
    checkArgument(timeoutMillis > 0, "timeoutMillis is %s, expected > 0", timeoutMillis);
    return new OperationTracker(timeoutMillis, backoff);
  }

  /** Fails the operation if its time is over, and returns whether it did. */
  public boolean expire(long nowMillis) {
    boolean late = outstanding && nowMillis - sentMillis >= timeoutMillis;
    return late && fail(number, nowMillis, 0);
  }

  /** Returns whether an operation may begin. */
  public boolean ready(long nowMillis) {
    return !outstanding && nowMillis >= notBeforeMillis;
  }

  /** Returns whether no operation is outstanding. */
  public boolean idle() {
    return !outstanding;
  }

  /** Begins an operation and returns its number. */
  public long begin(long nowMillis) {
    checkState(!outstanding, "operation %s is outstanding", number);
    number++;
    outstanding = true;
    sentMillis = nowMillis;
    return number;
  }

  /** Takes an answer and returns whether it belongs to the outstanding operation. */
  public boolean accept(long answered) {
    if (!outstanding || answered != number) {
      return false;
    }
    outstanding = false;
    failures = 0;
    return true;
  }

  /**
   * Takes a failure and returns whether it belongs to the outstanding operation.
   *
   * @param retryAfterMillis the least delay before the next operation, 0 if none was given
   */
  public boolean fail(long answered, long nowMillis, long retryAfterMillis) {
    if (!outstanding || answered != number) {
      return false;
    }
    outstanding = false;
    failures++;
    notBeforeMillis = nowMillis + Math.max(retryAfterMillis, backoff.delayMillis(failures));
    return true;
  }
}
