package io.briarward.core.admission;

/**
 * A running estimate of how long requests of one kind take.
 *
 * <p>Mean and mean deviation are exponentially weighted, as in the retransmission timer of TCP. Not
 * thread-safe.
 */
final class ServiceTimes {
  private static final double MEAN_GAIN = 0.05;
  private static final double DEVIATION_GAIN = 0.05;
  private static final double DEVIATIONS = 2;

  private double meanMillis;
  private double deviationMillis;
  private boolean known;

  void record(double durationMillis) {
    if (!known) {
      meanMillis = durationMillis;
      known = true;
      return;
    }
    double error = durationMillis - meanMillis;
    meanMillis += MEAN_GAIN * error;
    deviationMillis += DEVIATION_GAIN * (Math.abs(error) - deviationMillis);
  }

  /** Returns the mean, or 0 when nothing is known yet. */
  double meanMillis() {
    return meanMillis;
  }

  /** Returns the time within which most requests are answered, or 0 when nothing is known yet. */
  double upperMillis() {
    return meanMillis + DEVIATIONS * deviationMillis;
  }
}
