package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits retries and hedges to a share of the requests.
 *
 * <p>Each request adds a fraction of a token and each additional attempt takes one token, so that
 * retries cannot multiply the load on a failing service. Thread-safe.
 */
public final class RetryBudget {
  private final double share;
  private final double capacity;
  private double tokens;

  private RetryBudget(double share, double capacity) {
    this.share = share;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /**
   * Creates a full budget.
   *
   * @param share the number of additional attempts per request, from 0 to 1
   * @param capacity the largest number of unused tokens, at least 0
   */
  public static RetryBudget create(double share, double capacity) {
    checkArgument(share >= 0 && share <= 1, "share is %s, expected 0 to 1", share);
    checkArgument(capacity >= 0, "capacity is %s, expected >= 0", capacity);
    return new RetryBudget(share, capacity);
  }

  /** Records a request, whose first attempt takes no token. */
  public synchronized void onRequest() {
    tokens = Math.min(capacity, tokens + share);
  }

  /** Takes a token for an additional attempt, or returns false if none is left. */
  public synchronized boolean tryTake() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
