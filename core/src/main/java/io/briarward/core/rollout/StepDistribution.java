package io.briarward.core.rollout;

import java.util.Arrays;

/**
 * The distribution of lengths and speeds of the finished attempts of a shard.
 *
 * <p>Not thread-safe. Keeps the last {@value #CAPACITY} attempts.
 */
final class StepDistribution {
  private static final int CAPACITY = 1_024;

  private final double[] tokens = new double[CAPACITY];
  private final double[] tokensPerMillis = new double[CAPACITY];
  private int addedCount;

  void add(int sampleTokens, int attemptTokens, long elapsedMillis) {
    int slot = addedCount % CAPACITY;
    tokens[slot] = sampleTokens;
    tokensPerMillis[slot] = (double) attemptTokens / Math.max(1, elapsedMillis);
    addedCount++;
  }

  int count() {
    return Math.min(addedCount, CAPACITY);
  }

  /** Returns the {@code q}-quantile of the sample lengths in tokens, 0 if there are none. */
  double tokensQuantile(double q) {
    return quantile(tokens, q);
  }

  /** Returns the median speed in tokens per millisecond since dispatch, so queueing time counts. */
  double medianTokensPerMillis() {
    return quantile(tokensPerMillis, 0.5);
  }

  private double quantile(double[] values, double q) {
    int count = count();
    if (count == 0) {
      return 0;
    }
    double[] sorted = Arrays.copyOf(values, count);
    Arrays.sort(sorted);
    return sorted[(int) Math.min(count - 1, Math.floor(q * count))];
  }
}
