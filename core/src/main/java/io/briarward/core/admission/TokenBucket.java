package io.briarward.core.admission;

/**
 * A token bucket that limits the rate of started requests.
 *
 * <p>It holds at most the tokens of {@value #BURST_MILLIS} milliseconds, but at least one. A change
 * of the rate adds or removes the tokens that the difference in rate produces in this time, so that
 * the burst moves with a share from node to node and the bursts of all nodes add up to that of the
 * whole limit. Not thread-safe.
 */
final class TokenBucket {
  static final long BURST_MILLIS = 1_000;

  private double requestsPerSecond;
  private double tokens;
  private long refilledAtMillis;

  TokenBucket(double requestsPerSecond, long nowMillis) {
    this.requestsPerSecond = requestsPerSecond;
    this.tokens = requestsPerSecond * BURST_MILLIS / 1_000;
    this.refilledAtMillis = nowMillis;
  }

  void setRate(double requestsPerSecond, long nowMillis) {
    refill(nowMillis);
    tokens += (requestsPerSecond - this.requestsPerSecond) * BURST_MILLIS / 1_000;
    this.requestsPerSecond = requestsPerSecond;
    tokens = Math.min(tokens, capacity());
  }

  boolean hasToken(long nowMillis) {
    refill(nowMillis);
    return tokens >= 1;
  }

  /** Takes a token; call it only if {@link #hasToken} holds. */
  void take(long nowMillis) {
    refill(nowMillis);
    tokens -= 1;
  }

  /** Returns the time until the bucket holds {@code wanted} tokens, in milliseconds. */
  long millisUntil(double wanted, long nowMillis) {
    refill(nowMillis);
    if (tokens >= wanted) {
      return 0;
    }
    double millis = (wanted - tokens) * 1_000 / Math.max(requestsPerSecond, 1e-9);
    return (long) Math.min(Math.ceil(millis), Integer.MAX_VALUE);
  }

  private void refill(long nowMillis) {
    if (nowMillis <= refilledAtMillis) {
      return;
    }
    double added = (nowMillis - refilledAtMillis) * requestsPerSecond / 1_000;
    tokens = Math.min(tokens + added, capacity());
    refilledAtMillis = nowMillis;
  }

  private double capacity() {
    return Math.max(1, requestsPerSecond * BURST_MILLIS / 1_000);
  }
}
