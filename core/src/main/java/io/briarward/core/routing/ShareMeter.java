package io.briarward.core.routing;

/**
 * A share of recent work, where old work counts less.
 *
 * <p>Decay scales both sums alike, so that a share that was within its limit stays within it. Not
 * thread-safe.
 */
final class ShareMeter {
  private static final double DECAY_TIME_MILLIS = 60_000;

  /** Decay is applied in steps, since an exponential per request costs more than it brings. */
  private static final long DECAY_STEP_MILLIS = 100;

  private double total;
  private double counted;
  private long decayedAtMillis;

  /** Returns whether the share stays within the limit when the work is added and counted. */
  boolean allows(double work, double limit, long nowMillis) {
    decay(nowMillis);
    return counted + work <= limit * (total + work);
  }

  void record(double work, boolean isCounted, long nowMillis) {
    decay(nowMillis);
    total += work;
    if (isCounted) {
      counted += work;
    }
  }

  private void decay(long nowMillis) {
    long elapsedMillis = nowMillis - decayedAtMillis;
    if (elapsedMillis < DECAY_STEP_MILLIS) {
      return;
    }
    double factor = Math.exp(-elapsedMillis / DECAY_TIME_MILLIS);
    total *= factor;
    counted *= factor;
    decayedAtMillis = nowMillis;
  }
}
