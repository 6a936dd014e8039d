package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Forecasts the concurrent requests of a service from samples, by a smoothed level and trend.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class DemandForecast {
  private static final double LEVEL_WEIGHT = 0.5;
  private static final double TREND_WEIGHT = 0.2;

  private final long holdMillis;
  private final Deque<Sample> recent = new ArrayDeque<>();
  private double level;
  private double trendPerMilli;
  private long lastMillis;
  private boolean started;

  private DemandForecast(long holdMillis) {
    this.holdMillis = holdMillis;
  }

  private record Sample(long atMillis, double forecast) {}

  /**
   * Returns a forecast without samples.
   *
   * @param holdMillis how long a peak keeps {@link #held} up, above 0
   */
  public static DemandForecast create(long holdMillis) {
    checkArgument(holdMillis > 0, "holdMillis is %s, expected > 0", holdMillis);
    return new DemandForecast(holdMillis);
  }

  /**
   * Takes a sample.
   *
   * @param concurrent the requests that ran or waited at {@code nowMillis}
   * @param leadMillis how far ahead to forecast, the time that an upstream takes to start
   */
  public void observe(long nowMillis, double concurrent, long leadMillis) {
    if (!started) {
      started = true;
      level = concurrent;
    } else if (nowMillis > lastMillis) {
      update(nowMillis - lastMillis, concurrent);
    }
    lastMillis = nowMillis;
    double ahead = Math.max(concurrent, level + Math.max(0, trendPerMilli) * leadMillis);
    recent.addLast(new Sample(nowMillis, ahead));
    while (recent.peekFirst().atMillis < nowMillis - holdMillis) {
      recent.removeFirst();
    }
  }

  /** Returns the concurrent requests expected after the lead time, 0 before the first sample. */
  public double ahead() {
    return recent.isEmpty() ? 0 : recent.peekLast().forecast;
  }

  /** Returns the largest forecast within the hold time. */
  public double held() {
    return recent.stream().mapToDouble(Sample::forecast).max().orElse(0);
  }

  private void update(long elapsedMillis, double concurrent) {
    double before = level;
    double expected = level + trendPerMilli * elapsedMillis;
    level = LEVEL_WEIGHT * concurrent + (1 - LEVEL_WEIGHT) * expected;
    double slope = (level - before) / elapsedMillis;
    trendPerMilli = TREND_WEIGHT * slope + (1 - TREND_WEIGHT) * trendPerMilli;
  }
}
