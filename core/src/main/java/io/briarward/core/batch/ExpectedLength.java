package io.briarward.core.batch;

import com.google.common.collect.ImmutableList;

/** Estimates how many tokens an item generates; by the mean of its batch if its caller does not. */
final class ExpectedLength {
  private final double meanTokens;

  private ExpectedLength(double meanTokens) {
    this.meanTokens = meanTokens;
  }

  /** Returns the estimates for the items of a batch. */
  static ExpectedLength of(ImmutableList<BatchItem> items) {
    return new ExpectedLength(
        items.stream()
            .mapToInt(BatchItem::expectedTokens)
            .filter(tokens -> tokens > 0)
            .average()
            .orElse(0));
  }

  /** Returns the expected number of tokens of an item, 0 if unknown. */
  double tokens(BatchItem item) {
    return item.expectedTokens() > 0 ? item.expectedTokens() : meanTokens;
  }
}
