package io.briarward.core.admission;

/**
 * Bounds the rate of started requests.
 *
 * <p>It holds at most what {@value #BURST_MILLIS} milliseconds bring, but at least one request. A
 * change of the rate brings or takes as much, so that a share that moves between nodes takes its
 * burst along and the bursts of all nodes together are those of the whole limit. Not thread-safe.
 */
final class TokenBucket {
  static final long BURST_MILLIS = 1_000;

  private double requestsPerSecond;
  private double tokens;
  private long filledAtMillis;

  TokenBucket(double requestsPerSecond, long nowMillis) {
    this.requestsPerSecond = requestsPerSecond;
    this.tokens = requestsPerSecond * BURST_MILLIS / 1_000;
    this.filledAtMillis = nowMillis;
  }

  void setRate(double requestsPerSecond, long nowMillis) {
    fill(nowMillis);
    tokens += (requestsPerSecond - this.requestsPerSecond) * BURST_MILLIS / 1_000;
    this.requestsPerSecond = requestsPerSecond;
    tokens = Math.min(tokens, capacity());
  }

  boolean hasToken(long nowMillis) {
    fill(nowMillis);
    return tokens >= 1;
  }

  /** Takes a token, which must be there. */
  void take(long nowMillis) {
    fill(nowMillis);
    tokens -= 1;
  }

  /** Returns the time until the given number of tokens is there, in milliseconds. */
  long millisUntil(double wanted, long nowMillis) {
    fill(nowMillis);
    if (tokens >= wanted) {
      return 0;
    }
    double millis = (wanted - tokens) * 1_000 / Math.max(requestsPerSecond, 1e-9);
    return (long) Math.min(Math.ceil(millis), Integer.MAX_VALUE);
  }

  private void fill(long nowMillis) {
    if (nowMillis <= filledAtMillis) {
      return;
    }
    double added = (nowMillis - filledAtMillis) * requestsPerSecond / 1_000;
    tokens = Math.min(tokens + added, capacity());
    filledAtMillis = nowMillis;
  }

  private double capacity() {
    return Math.max(1, requestsPerSecond * BURST_MILLIS / 1_000);
  }
}
