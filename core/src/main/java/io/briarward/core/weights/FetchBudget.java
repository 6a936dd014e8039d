package io.briarward.core.weights;

/** A token bucket for fetches from the weight store. Not thread-safe. */
final class FetchBudget {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double BURST = 1;

  private final double perMillis;
  private double tokens = BURST;
  private long updatedAtMillis;

  FetchBudget(double perSecond, long nowMillis) {
    this.perMillis = perSecond / MILLIS_PER_SECOND;
    this.updatedAtMillis = nowMillis;
  }

  boolean tryTake(long nowMillis) {
    tokens = Math.min(BURST, tokens + (nowMillis - updatedAtMillis) * perMillis);
    updatedAtMillis = nowMillis;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
