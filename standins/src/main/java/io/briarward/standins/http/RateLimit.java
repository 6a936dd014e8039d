package io.briarward.standins.http;

import static com.google.common.base.Preconditions.checkArgument;

/** Limits operations to a number per second, with a burst of one second. */
public final class RateLimit {
  private static final double MILLIS_PER_SECOND = 1_000;

  private double available;
  private long refilledMillis;

  private RateLimit(double perSecond, long nowMillis) {
    this.available = perSecond;
    this.refilledMillis = nowMillis;
  }

  /** Returns a limit whose burst is available. */
  public static RateLimit create(double perSecond, long nowMillis) {
    checkArgument(perSecond > 0, "perSecond is %s, expected > 0", perSecond);
    return new RateLimit(perSecond, nowMillis);
  }

  /** Returns whether {@code amount} operations may run now, at the given rate, and counts them. */
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
