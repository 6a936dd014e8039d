package io.briarward.experiments.rollout;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/** A series of measured values. Not thread-safe. */
final class Series {
  private final DoubleStream.Builder values = DoubleStream.builder();
  private double[] sorted = {};

  void add(double value) {
    values.add(value);
  }

  /** Sorts the values; must be called once, after the last value and before any statistic. */
  Series finish() {
    sorted = values.build().sorted().toArray();
    return this;
  }

  int count() {
    return sorted.length;
  }

  double mean() {
    return Arrays.stream(sorted).average().orElse(0);
  }

  double max() {
    return sorted.length == 0 ? 0 : sorted[sorted.length - 1];
  }

  /** Returns the {@code q} quantile, 0 if there are no values. */
  double quantile(double q) {
    int index = (int) Math.min(sorted.length - 1.0, Math.floor(q * sorted.length));
    return sorted.length == 0 ? 0 : sorted[index];
  }
}
