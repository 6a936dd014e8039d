package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The permission to act under a lease for a limited time.
 *
 * <p>Whoever sends an order calls {@link #mayStart} directly before the bytes leave, and ends the
 * exchange, closing its connection, when {@link #mayActUntilMillis} passes. Immutable and
 * thread-safe.
 *
 * @param duty the duty that the lease covers
 * @param fencingNumber the number to send with each order, above 0
 * @param mayActUntilMillis the end of the lease in milliseconds of the holder's monotonic clock
 * @param sendMarginMillis the least time that must be left when an order is begun
 */
public record LeaseGuard(
    String duty, long fencingNumber, long mayActUntilMillis, long sendMarginMillis) {
  /** Checks the fields. */
  public LeaseGuard {
    checkArgument(!duty.isEmpty(), "duty is empty");
    checkArgument(fencingNumber > 0, "fencingNumber is %s, expected > 0", fencingNumber);
    checkArgument(sendMarginMillis >= 0, "sendMarginMillis is %s, expected >= 0", sendMarginMillis);
  }

  /** Returns whether an order may be begun at the monotonic time {@code nowMillis}. */
  public boolean mayStart(long nowMillis) {
    return nowMillis + sendMarginMillis < mayActUntilMillis;
  }

  /** Returns how long an order begun now may take, in milliseconds, 0 when none may be begun. */
  public long sendTimeoutMillis(long nowMillis) {
    return mayStart(nowMillis) ? mayActUntilMillis - nowMillis : 0;
  }
}
