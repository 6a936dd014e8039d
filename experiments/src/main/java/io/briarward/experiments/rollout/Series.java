package io.briarward.experiments.rollout;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/** Measured values. Not thread-safe. */
final class Series {
  private final DoubleStream.Builder values = DoubleStream.builder();
  private double[] sorted = {};

  void add(double value) {
    values.add(value);
  }

  /** Ends the collection; called once before the figures are read. */
  Series end() {
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

  /** Returns the value that a share {@code q} of the values stays within. */
  double quantile(double q) {
    int index = (int) Math.min(sorted.length - 1.0, Math.floor(q * sorted.length));
    return sorted.length == 0 ? 0 : sorted[index];
  }
}
