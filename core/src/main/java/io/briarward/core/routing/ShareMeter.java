package io.briarward.core.routing;

/**
 * Measures the share of one kind of work, called counted work, in all recent work, with exponential
 * decay.
 *
 * <p>Decay scales the counted and the total work by the same factor, so a share within its limit
 * stays within it. Not thread-safe.
 */
final class ShareMeter {
  private static final double DECAY_TIME_CONSTANT_MILLIS = 60_000;

  /** The least time between decays, to avoid computing an exponential for each request. */
  private static final long DECAY_STEP_MILLIS = 100;

  private double totalWork;
  private double countedWork;
  private long decayedAtMillis;

  /** Returns whether the share stays within the limit if the work is added as counted work. */
  boolean canAdd(double work, double limit, long nowMillis) {
    decay(nowMillis);
    return countedWork + work <= limit * (totalWork + work);
  }

  void record(double work, boolean isCounted, long nowMillis) {
    decay(nowMillis);
    totalWork += work;
    if (isCounted) {
      countedWork += work;
    }
  }

  private void decay(long nowMillis) {
    long elapsedMillis = nowMillis - decayedAtMillis;
    if (elapsedMillis < DECAY_STEP_MILLIS) {
      return;
    }
    double factor = Math.exp(-elapsedMillis / DECAY_TIME_CONSTANT_MILLIS);
    totalWork *= factor;
    countedWork *= factor;
    decayedAtMillis = nowMillis;
  }
}
