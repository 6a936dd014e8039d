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
 * Detects silent incarnations by the time since their rows last changed.
 *
 * <p>Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
final class IncarnationTracker {
  private final UsageSettings settings;
  private final Map<String, Observation> observations = new HashMap<>();

  private IncarnationTracker(UsageSettings settings) {
    this.settings = checkNotNull(settings, "settings");
  }

  private record Observation(long version, IncarnationRow row, long unchangedSinceMillis) {}

  static IncarnationTracker create(UsageSettings settings) {
    return new IncarnationTracker(settings);
  }

  /** Records a complete scan of {@link UsageTables#INCARNATIONS}. */
  void observe(ImmutableList<Row> rows, long nowMillis) {
    observations.keySet().retainAll(rows.stream().map(Row::key).collect(toImmutableSet()));
    for (Row row : rows) {
      Observation present =
          new Observation(row.version(), IncarnationRow.parse(row.value()), nowMillis);
      observations.merge(
          row.key(), present, (before, now) -> before.version == now.version ? before : now);
    }
  }

  /** Returns the incarnations that have not sealed every window before {@code endMillis}. */
  ImmutableSet<String> unsealed(long endMillis) {
    return matching(each -> each.row.sealedBeforeMillis() < endMillis);
  }

  /** Returns the incarnations whose rows have not changed for the dead-after time. */
  ImmutableSet<String> silent(long nowMillis) {
    return matching(each -> nowMillis - each.unchangedSinceMillis >= settings.deadAfterMillis());
  }

  /** Returns the silent incarnations that ended or have not sealed up to {@code oldestMillis}. */
  ImmutableSet<String> removable(long nowMillis, long oldestMillis) {
    return matching(
        each ->
            nowMillis - each.unchangedSinceMillis >= settings.deadAfterMillis()
                && (each.row.sealedBeforeMillis() == IncarnationRow.ENDED
                    || each.row.sealedBeforeMillis() < oldestMillis));
  }

  /** Returns the start of the earliest window that some incarnation has not sealed. */
  OptionalLong firstUnsealedMillis() {
    return observations.values().stream().mapToLong(each -> each.row.sealedBeforeMillis()).min();
  }

  private ImmutableSet<String> matching(Predicate<Observation> condition) {
    return observations.entrySet().stream()
        .filter(entry -> condition.test(entry.getValue()))
        .map(Map.Entry::getKey)
        .collect(toImmutableSet());
  }
}
