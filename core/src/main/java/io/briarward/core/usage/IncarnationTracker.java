package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.platform.Row;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Watches the incarnations' rows for changes, to tell the silent from the live.
 *
 * <p>Times are milliseconds of one monotonic clock. Not thread-safe.
 */
final class IncarnationTracker {
  private final UsageSettings settings;
  private final Map<String, Seen> seen = new HashMap<>();

  private IncarnationTracker(UsageSettings settings) {
    this.settings = checkNotNull(settings, "settings");
  }

  private record Seen(long version, IncarnationRow row, long sinceMillis) {}

  static IncarnationTracker create(UsageSettings settings) {
    return new IncarnationTracker(settings);
  }

  /** Takes a complete scan of the table. */
  void observe(ImmutableList<Row> rows, long nowMillis) {
    seen.keySet().retainAll(rows.stream().map(Row::key).collect(toImmutableSet()));
    for (Row row : rows) {
      Seen present = new Seen(row.version(), IncarnationRow.parse(row.value()), nowMillis);
      seen.merge(row.key(), present, (before, now) -> before.version == now.version ? before : now);
    }
  }

  /** Returns the incarnations that have not sealed every window before {@code endMillis}. */
  ImmutableSet<String> unsealed(long endMillis) {
    return matching(each -> each.row.sealedBeforeMillis() < endMillis);
  }

  /** Returns the incarnations whose row has not changed for the time after which one is dead. */
  ImmutableSet<String> silent(long nowMillis) {
    return matching(each -> nowMillis - each.sinceMillis >= settings.deadAfterMillis());
  }

  /** Returns the silent incarnations that ended, or sealed nothing since {@code oldestMillis}. */
  ImmutableSet<String> forgotten(long nowMillis, long oldestMillis) {
    return matching(
        each ->
            nowMillis - each.sinceMillis >= settings.deadAfterMillis()
                && (each.row.sealedBeforeMillis() == IncarnationRow.ENDED
                    || each.row.sealedBeforeMillis() < oldestMillis));
  }

  /** Returns the start of the first window that some incarnation may count in. */
  OptionalLong firstOpenMillis() {
    return seen.values().stream().mapToLong(each -> each.row.sealedBeforeMillis()).min();
  }

  private ImmutableSet<String> matching(Predicate<Seen> condition) {
    return seen.entrySet().stream()
        .filter(entry -> condition.test(entry.getValue()))
        .map(Map.Entry::getKey)
        .collect(toImmutableSet());
  }
}
