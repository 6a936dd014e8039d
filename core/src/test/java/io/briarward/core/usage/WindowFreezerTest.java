package io.briarward.core.usage;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.IntNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import org.junit.jupiter.api.Test;

class WindowFreezerTest {
  private static final UsageSettings SETTINGS = UsageSettings.defaults();
  private static final long WINDOW_START_MILLIS = 10 * SETTINGS.windowMillis();
  private static final UsageKey KEY = new UsageKey("mill", "recipe-llm", "live");

  private final TableState table = TableState.create();

  @Test
  void secondFreezeOfTheWindowIsRejected() {
    Transaction freeze = freeze(before(), input(ImmutableSet.of())).transaction();

    assertThat(table.commit(freeze).committed()).isTrue();
    assertThat(table.commit(freeze).committed()).isFalse();
  }

  @Test
  void registrationAfterTheReadPreventsTheFreeze() {
    WindowFreezer.Input input = input(ImmutableSet.of());
    Transaction registration =
        Transaction.builder().put(UsageTables.registrations(), IntNode.valueOf(1)).build();
    table.commit(registration);

    Transaction freeze = freeze(before(), input).transaction();

    assertThat(table.commit(freeze).committed()).isFalse();
  }

  @Test
  void lateUsageIsBilledOnceInTheNextWindow() {
    flush(3, false);
    FrozenWindow first = freezeAndCommit(before(), input(ImmutableSet.of("vm1.a")));
    flush(5, false);
    FrozenWindow second = freezeAndCommit(first, input(ImmutableSet.of()));
    FrozenWindow third = freezeAndCommit(second, input(ImmutableSet.of()));

    assertThat(first.figures().get(KEY).requests()).isEqualTo(3);
    assertThat(second.figures().get(KEY).requests()).isEqualTo(2);
    assertThat(third.figures().isEmpty()).isTrue();
  }

  @Test
  void usageWrittenBetweenTheScanAndTheFreezeIsBilledInTheNextWindow() {
    WindowFreezer.Input scanned = input(ImmutableSet.of("vm1.a"));
    flush(3, false);
    FrozenWindow first = freezeAndCommit(before(), scanned);
    FrozenWindow second = freezeAndCommit(first, input(ImmutableSet.of()));

    assertThat(first.figures().isEmpty()).isTrue();
    assertThat(second.figures().get(KEY).requests()).isEqualTo(3);
  }

  @Test
  void usageIsSealedOnBehalfOfItsOwnerOnceTheRetentionExpires() {
    flush(3, false);
    FrozenWindow window = freezeAndCommit(before(), input(ImmutableSet.of("vm1.a")));
    for (int i = 0; i <= SETTINGS.retentionWindows(); i++) {
      window = freezeAndCommit(window, input(ImmutableSet.of()));
    }

    Row row = table.read(UsageTables.usage(WINDOW_START_MILLIS, "vm1.a")).orElseThrow();
    assertThat(UsageRow.parse(row.value()).sealed()).isTrue();
    assertThat(window.open()).isEmpty();
  }

  @Test
  void frozenWindowIsParsedAsItWasWritten() {
    flush(3, false);
    FrozenWindow window = freezeAndCommit(before(), input(ImmutableSet.of("vm1.a")));

    assertThat(FrozenWindow.parse(WINDOW_START_MILLIS, window.toJson())).isEqualTo(window);
  }

  private void flush(long requests, boolean seal) {
    UsageTotals totals =
        UsageTotals.copyOf(ImmutableMap.of(KEY, new UsageAmounts(requests, 0, 0, 0, 0)));
    Row present = table.read(UsageTables.usage(WINDOW_START_MILLIS, "vm1.a")).orElse(null);
    Transaction flush =
        Transaction.builder()
            .requireVersion(
                UsageTables.usage(WINDOW_START_MILLIS, "vm1.a"),
                present == null ? Transaction.ABSENT : present.version())
            .put(
                UsageTables.usage(WINDOW_START_MILLIS, "vm1.a"),
                new UsageRow(totals, seal).toJson())
            .build();
    assertThat(table.commit(flush).committed()).isTrue();
  }

  private FrozenWindow freezeAndCommit(FrozenWindow previous, WindowFreezer.Input input) {
    WindowFreezer.Result result = freeze(previous, input);
    assertThat(table.commit(result.transaction()).committed()).isTrue();
    return result.window();
  }

  private static WindowFreezer.Result freeze(FrozenWindow previous, WindowFreezer.Input input) {
    WindowFreezer freezer = WindowFreezer.after(SETTINGS, previous);
    boolean first = freezer.windowStartMillis() == WINDOW_START_MILLIS;
    WindowFreezer.Input own =
        new WindowFreezer.Input(
            input.registrationsVersion(),
            first ? input.unsealed() : ImmutableSet.of(),
            first ? input.rows() : ImmutableMap.of(),
            input.late(),
            input.lateRows(),
            input.forgotten());
    return freezer.freeze(own, 0);
  }

  private static FrozenWindow before() {
    return FrozenWindow.before(WINDOW_START_MILLIS, SETTINGS.windowMillis());
  }

  private WindowFreezer.Input input(ImmutableSet<String> unsealed) {
    ImmutableMap.Builder<String, Row> rows = ImmutableMap.builder();
    table.scan(UsageTables.USAGE, "", "", 100).forEach(row -> rows.put(row.key(), row));
    ImmutableMap<String, Row> all = rows.buildOrThrow();
    return new WindowFreezer.Input(
        0, unsealed, all, ImmutableSortedSet.of(), all, ImmutableSet.of());
  }
}
