package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Forecasts the concurrent requests of a service by double exponential smoothing.
 *
 * <p>The forecast combines a smoothed level and a smoothed trend, and ignores a falling trend.
 * Times are milliseconds on one monotonic clock. Not thread-safe.
 */
public final class DemandForecast {
  private static final double LEVEL_SMOOTHING = 0.5;
  private static final double TREND_SMOOTHING = 0.2;

  private final long holdMillis;
  private final Deque<Forecast> recent = new ArrayDeque<>();
  private double level;
  private double trendPerMilli;
  private long lastSampleMillis;
  private boolean hasSample;

  private DemandForecast(long holdMillis) {
    this.holdMillis = holdMillis;
  }

  private record Forecast(long atMillis, double concurrent) {}

  /**
   * Creates a forecast without samples.
   *
   * @param holdMillis the period whose largest forecast {@link #held} returns, above 0
   */
  public static DemandForecast create(long holdMillis) {
    checkArgument(holdMillis > 0, "holdMillis is %s, expected > 0", holdMillis);
    return new DemandForecast(holdMillis);
  }

  /**
   * Adds a sample.
   *
   * @param nowMillis the time of the sample
   * @param concurrent the number of requests that were running or waiting at {@code nowMillis}
   * @param leadMillis the forecast horizon, which is the time that an upstream takes to start
   */
  public void observe(long nowMillis, double concurrent, long leadMillis) {
    if (!hasSample) {
      hasSample = true;
      level = concurrent;
    } else if (nowMillis > lastSampleMillis) {
      update(nowMillis - lastSampleMillis, concurrent);
    }
    lastSampleMillis = nowMillis;
    double forecast = Math.max(concurrent, level + Math.max(0, trendPerMilli) * leadMillis);
    recent.addLast(new Forecast(nowMillis, forecast));
    while (recent.peekFirst().atMillis < nowMillis - holdMillis) {
      recent.removeFirst();
    }
  }

  /** Returns the last forecast of concurrent requests, or 0 before the first sample. */
  public double ahead() {
    return recent.isEmpty() ? 0 : recent.peekLast().concurrent;
  }

  /** Returns the largest forecast within the hold period, or 0 before the first sample. */
  public double held() {
    return recent.stream().mapToDouble(Forecast::concurrent).max().orElse(0);
  }

  private void update(long elapsedMillis, double concurrent) {
    double previousLevel = level;
    double expected = level + trendPerMilli * elapsedMillis;
    level = LEVEL_SMOOTHING * concurrent + (1 - LEVEL_SMOOTHING) * expected;
    double slope = (level - previousLevel) / elapsedMillis;
    trendPerMilli = TREND_SMOOTHING * slope + (1 - TREND_SMOOTHING) * trendPerMilli;
  }
}
