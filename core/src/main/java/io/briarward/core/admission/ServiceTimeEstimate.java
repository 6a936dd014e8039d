package io.briarward.core.admission;

/**
 * A running estimate of the service time of the requests of one class.
 *
 * <p>Keeps exponentially weighted averages of the time and of its deviation, as the TCP
 * retransmission timer does. Not thread-safe.
 */
final class ServiceTimeEstimate {
  private static final double MEAN_GAIN = 0.05;
  private static final double DEVIATION_GAIN = 0.05;
  private static final double UPPER_BOUND_DEVIATIONS = 2;

  private double meanMillis;
  private double deviationMillis;
  private boolean hasSample;

  void record(double durationMillis) {
    if (!hasSample) {
      meanMillis = durationMillis;
      hasSample = true;
      return;
    }
    double error = durationMillis - meanMillis;
    meanMillis += MEAN_GAIN * error;
    deviationMillis += DEVIATION_GAIN * (Math.abs(error) - deviationMillis);
  }

  /** Returns the mean, or 0 before the first sample. */
  double meanMillis() {
    return meanMillis;
  }

  /** Returns the time within which most requests are answered, or 0 before the first sample. */
  double upperBoundMillis() {
    return meanMillis + UPPER_BOUND_DEVIATIONS * deviationMillis;
  }
}
