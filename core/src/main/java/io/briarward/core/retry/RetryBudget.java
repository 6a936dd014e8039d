package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds repeated attempts to a share of the requests.
 *
 * <p>Each request adds a part of a token and each further attempt takes one, so that retries cannot
 * multiply the load on a service that is failing. Thread-safe.
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
   * @param share how many further attempts a request pays for, from 0 to 1
   * @param capacity how many further attempts can be saved up, at least 0
   */
  public static RetryBudget create(double share, double capacity) {
    checkArgument(share >= 0 && share <= 1, "share is %s, expected 0 to 1", share);
    checkArgument(capacity >= 0, "capacity is %s, expected >= 0", capacity);
    return new RetryBudget(share, capacity);
  }

  /** Records a request, of which the first attempt is free. */
  public synchronized void onRequest() {
    tokens = Math.min(capacity, tokens + share);
  }

  /** Takes a token for a further attempt, and returns false if there is none. */
  public synchronized boolean tryTake() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
