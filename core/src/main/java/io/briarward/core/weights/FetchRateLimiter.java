package io.briarward.core.weights;

/** A token bucket that limits the rate of fetches from the weight store. Not thread-safe. */
final class FetchRateLimiter {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double CAPACITY = 1;

  private final double tokensPerMilli;
  private double tokens = CAPACITY;
  private long refilledAtMillis;

  FetchRateLimiter(double fetchesPerSecond, long nowMillis) {
    this.tokensPerMilli = fetchesPerSecond / MILLIS_PER_SECOND;
    this.refilledAtMillis = nowMillis;
  }

  boolean tryAcquire(long nowMillis) {
    tokens = Math.min(CAPACITY, tokens + (nowMillis - refilledAtMillis) * tokensPerMilli);
    refilledAtMillis = nowMillis;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
