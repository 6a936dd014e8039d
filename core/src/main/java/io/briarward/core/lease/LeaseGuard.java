package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A time-limited permission to act as the lease holder.
 *
 * <p>The sender of an order calls {@link #mayStart} immediately before it writes the request, and
 * aborts the exchange by closing its connection at {@link #mayActUntilMillis}. Immutable and
 * thread-safe.
 *
 * @param duty the duty that the lease covers
 * @param fencingNumber the fencing number to send with each order, > 0
 * @param mayActUntilMillis the expiry time of the lease, in milliseconds of the lease holder's
 *     monotonic clock
 * @param sendMarginMillis how long before its expiry the lease stops permitting new orders, >= 0
 */
public record LeaseGuard(
    String duty, long fencingNumber, long mayActUntilMillis, long sendMarginMillis) {
  /** Validates the components. */
  public LeaseGuard {
    checkArgument(!duty.isEmpty(), "duty is empty");
    checkArgument(fencingNumber > 0, "fencingNumber is %s, expected > 0", fencingNumber);
    checkArgument(sendMarginMillis >= 0, "sendMarginMillis is %s, expected >= 0", sendMarginMillis);
  }

  /** Returns whether sending an order may start at the monotonic time {@code nowMillis}. */
  public boolean mayStart(long nowMillis) {
    return nowMillis + sendMarginMillis < mayActUntilMillis;
  }

  /**
   * Returns the time-out in milliseconds for an order whose sending starts at {@code nowMillis}; 0
   * if it may not start.
   */
  public long sendTimeoutMillis(long nowMillis) {
    return mayStart(nowMillis) ? mayActUntilMillis - nowMillis : 0;
  }
}
