package io.briarward.standins.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A token bucket that limits operations per second and allows a burst of one second.
 *
 * <p>Not thread-safe.
 */
public final class RateLimit {
  private static final double MILLIS_PER_SECOND = 1_000;

  private double available;
  private long refilledMillis;

  private RateLimit(double perSecond, long nowMillis) {
    this.available = perSecond;
    this.refilledMillis = nowMillis;
  }

  /** Creates a limit with a full bucket. */
  public static RateLimit create(double perSecond, long nowMillis) {
    checkArgument(perSecond > 0, "perSecond is %s, expected > 0", perSecond);
    return new RateLimit(perSecond, nowMillis);
  }

  /**
   * Acquires permits if enough are available.
   *
   * <p>The bucket holds at least {@code amount} permits, so that an operation larger than the burst
   * can be acquired eventually.
   *
   * @param amount the number of operations
   * @param perSecond the current rate limit
   * @return whether the operations may run now
   */
  public boolean tryAcquire(double amount, double perSecond, long nowMillis) {
    double refill = (nowMillis - refilledMillis) * perSecond / MILLIS_PER_SECOND;
    refilledMillis = nowMillis;
    available = Math.min(Math.max(perSecond, amount), available + refill);
    if (available < amount) {
      return false;
    }
    available -= amount;
    return true;
  }
}
