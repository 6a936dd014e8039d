package io.briarward.core.rollout;

import java.util.Arrays;

/**
 * The lengths and speeds of the attempts that finished in a step.
 *
 * <p>Not thread-safe. Keeps the last {@value #CAPACITY} attempts.
 */
final class StepDistribution {
  private static final int CAPACITY = 1_024;

  private final double[] tokens = new double[CAPACITY];
  private final double[] tokensPerMillis = new double[CAPACITY];
  private int added;

  void add(int sampleTokens, int attemptTokens, long elapsedMillis) {
    int slot = added % CAPACITY;
    tokens[slot] = sampleTokens;
    tokensPerMillis[slot] = (double) attemptTokens / Math.max(1, elapsedMillis);
    added++;
  }

  int count() {
    return Math.min(added, CAPACITY);
  }

  /** Returns the length in tokens that a share {@code q} of the samples stayed within. */
  double tokensQuantile(double q) {
    return quantile(tokens, q);
  }

  /** Returns the median speed in tokens per millisecond, queueing included. */
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
