package io.briarward.experiments.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/** Computes the median and maximum of measured values. */
final class Percentiles {
  private Percentiles() {}

  static long median(List<Long> values) {
    checkArgument(!values.isEmpty(), "values is empty, expected at least one value");
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  static long max(List<Long> values) {
    checkArgument(!values.isEmpty(), "values is empty, expected at least one value");
    return values.stream().max(Long::compare).get();
  }
}
