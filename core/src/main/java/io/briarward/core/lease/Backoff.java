package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Exponential back-off: a delay that doubles with each consecutive failure, up to a maximum.
 *
 * <p>Immutable and thread-safe.
 *
 * @param initialMillis the delay after the first failure, > 0
 * @param maxMillis the maximum delay, >= {@code initialMillis}
 */
public record Backoff(long initialMillis, long maxMillis) {
  private static final int MAX_DOUBLINGS = 30;

  /** Validates the components. */
  public Backoff {
    checkArgument(initialMillis > 0, "initialMillis is %s, expected > 0", initialMillis);
    checkArgument(
        maxMillis >= initialMillis, "maxMillis is %s, expected >= %s", maxMillis, initialMillis);
  }

  /**
   * Returns the delay in milliseconds after {@code failures} consecutive failures; 0 if there were
   * none.
   *
   * @throws IllegalArgumentException if {@code failures} is negative
   */
  public long delayMillis(int failures) {
    checkArgument(failures >= 0, "failures is %s, expected >= 0", failures);
    if (failures == 0) {
      return 0;
    }
    long delayMillis = initialMillis << Math.min(failures - 1, MAX_DOUBLINGS);
    return Math.min(delayMillis, maxMillis);
  }
}
