package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BinaryOperator;

/**
 * Usage amounts by key.
 *
 * <p>Immutable and thread-safe.
 */
public record UsageTotals(ImmutableSortedMap<UsageKey, UsageAmounts> amounts) {
  /** No usage. */
  public static final UsageTotals EMPTY = new UsageTotals(ImmutableSortedMap.of());

  /** Checks the fields. */
  public UsageTotals {
    checkNotNull(amounts, "amounts");
  }

  /** Returns totals with the given amounts. */
  public static UsageTotals copyOf(Map<UsageKey, UsageAmounts> amounts) {
    return new UsageTotals(ImmutableSortedMap.copyOf(amounts));
  }

  /** Returns whether no key has amounts. */
  public boolean isEmpty() {
    return amounts.isEmpty();
  }

  /** Returns the amounts of a key, or {@link UsageAmounts#ZERO} if there are none. */
  public UsageAmounts get(UsageKey key) {
    return amounts.getOrDefault(key, UsageAmounts.ZERO);
  }

  /** Returns the sums by key. */
  public UsageTotals plus(UsageTotals other) {
    return combine(other, UsageAmounts::plus);
  }

  /** Returns the maximum of each amount by key. */
  public UsageTotals join(UsageTotals other) {
    return combine(other, UsageAmounts::join);
  }

  /** Returns the increase since earlier totals, leaving out keys without an increase. */
  public UsageTotals minus(UsageTotals earlier) {
    ImmutableSortedMap.Builder<UsageKey, UsageAmounts> increases =
        ImmutableSortedMap.naturalOrder();
    amounts.forEach(
        (key, now) -> {
          UsageAmounts increase = now.minus(earlier.get(key));
          if (!increase.equals(UsageAmounts.ZERO)) {
            increases.put(key, increase);
          }
        });
    return new UsageTotals(increases.build());
  }

  /** Returns the sum over all keys. */
  public UsageAmounts sum() {
    return amounts.values().stream().reduce(UsageAmounts.ZERO, UsageAmounts::plus);
  }

  private UsageTotals combine(UsageTotals other, BinaryOperator<UsageAmounts> operator) {
    Map<UsageKey, UsageAmounts> combined = new TreeMap<>(amounts);
    other.amounts.forEach((key, value) -> combined.merge(key, value, operator));
    return copyOf(combined);
  }
}
