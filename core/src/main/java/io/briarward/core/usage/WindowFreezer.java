package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.ImmutableSortedSet;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.Transaction;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes the figures that are billed for a window.
 *
 * <p>A window bills its own counters in full, and the increase of each counter that its predecessor
 * left open. A counter stays open until its owner seals it or the retention expires; then it is
 * sealed on the owner's behalf and cannot grow any more.
 */
public final class WindowFreezer {
  private final UsageSettings settings;
  private final FrozenWindow previous;
  private final long windowStartMillis;

  private WindowFreezer(UsageSettings settings, FrozenWindow previous) {
    this.settings = checkNotNull(settings, "settings");
    this.previous = checkNotNull(previous, "previous");
    this.windowStartMillis = previous.windowStartMillis() + settings.windowMillis();
  }

  /**
   * The rows read from the table service.
   *
   * @param registrationsVersion the version of the row {@link UsageTables#registrations}, read
   *     before everything else
   * @param unsealed the incarnations that had not sealed the window, read before {@code rows}
   * @param rows the window's rows of {@link UsageTables#USAGE}, by key
   * @param late the markers of late usage
   * @param lateRows the existing rows of late usage and of counters left open, by key
   * @param forgotten the incarnations whose rows are deleted: silent ones that ended or have not
   *     sealed the windows before the retention
   */
  public record Input(
      long registrationsVersion,
      ImmutableSet<String> unsealed,
      ImmutableMap<String, Row> rows,
      ImmutableSortedSet<IncarnationWindow> late,
      ImmutableMap<String, Row> lateRows,
      ImmutableSet<String> forgotten) {}

  /**
   * The frozen window and the transaction that stores it.
   *
   * @param window the frozen window
   * @param transaction stores the window unless it is frozen already or an incarnation registered
   *     since the read
   */
  public record Result(FrozenWindow window, Transaction transaction) {}

  /** Returns a freezer for the window after {@code previous}. */
  public static WindowFreezer after(UsageSettings settings, FrozenWindow previous) {
    return new WindowFreezer(settings, previous);
  }

  /** Returns the start of the window to freeze. */
  public long windowStartMillis() {
    return windowStartMillis;
  }

  /** Returns the counters of earlier windows whose rows must be read: left open or marked late. */
  public ImmutableSortedSet<IncarnationWindow> earlier(ImmutableSortedSet<IncarnationWindow> late) {
    return ImmutableSortedSet.<IncarnationWindow>naturalOrder()
        .addAll(previous.open().keySet())
        .addAll(late.headSet(new IncarnationWindow(windowStartMillis, "")))
        .build();
  }

  /**
   * Computes the frozen window.
   *
   * @param reported the start of the last window whose reports were all answered, before the window
   *     to freeze
   */
  public Result freeze(Input input, long reported) {
    checkArgument(
        reported < windowStartMillis,
        "reported is %s, expected a window before the one to freeze",
        reported);
    Transaction.Builder transaction = Transaction.builder();
    Map<IncarnationWindow, UsageTotals> open = new TreeMap<>();
    UsageTotals figures =
        billOwnCounters(input, open).plus(billEarlierCounters(input, open, transaction));
    FrozenWindow window =
        new FrozenWindow(windowStartMillis, figures, ImmutableSortedMap.copyOf(open));
    transaction
        .requireVersion(UsageTables.registrations(), input.registrationsVersion())
        .requireAbsent(UsageTables.frozen(windowStartMillis))
        .put(UsageTables.frozen(windowStartMillis), window.toJson())
        .put(UsageTables.head(), new HeadRow(windowStartMillis, reported).toJson());
    earlier(input.late())
        .forEach(
            usage ->
                transaction.delete(
                    UsageTables.late(usage.windowStartMillis(), usage.incarnation())));
    input.forgotten().forEach(each -> transaction.delete(UsageTables.incarnation(each)));
    return new Result(window, transaction.build());
  }

  private UsageTotals billOwnCounters(Input input, Map<IncarnationWindow, UsageTotals> open) {
    UsageTotals figures = UsageTotals.EMPTY;
    for (Row row : input.rows().values()) {
      figures = figures.plus(UsageRow.parse(row.value()).totals());
    }
    for (String incarnation : input.unsealed()) {
      UsageRow row = row(input.rows(), new IncarnationWindow(windowStartMillis, incarnation));
      open.put(new IncarnationWindow(windowStartMillis, incarnation), row.totals());
    }
    input
        .rows()
        .forEach(
            (key, row) -> {
              UsageRow value = UsageRow.parse(row.value());
              if (!value.sealed()) {
                open.put(UsageTables.parse(key), value.totals());
              }
            });
    return figures;
  }

  private UsageTotals billEarlierCounters(
      Input input, Map<IncarnationWindow, UsageTotals> open, Transaction.Builder transaction) {
    long oldestMillis = windowStartMillis - settings.retentionWindows() * settings.windowMillis();
    UsageTotals figures = UsageTotals.EMPTY;
    for (IncarnationWindow usage : earlier(input.late())) {
      UsageTotals billed = previous.open().getOrDefault(usage, UsageTotals.EMPTY);
      UsageRow row = row(input.lateRows(), usage);
      figures = figures.plus(row.totals().minus(billed));
      if (row.totals().isEmpty()) {
        // A later write of this counter finds its window frozen and marks it as late.
        continue;
      }
      if (!row.sealed() && usage.windowStartMillis() >= oldestMillis) {
        open.put(usage, row.totals());
      } else if (!row.sealed()) {
        sealOnBehalf(input, usage, row, transaction);
      }
    }
    return figures;
  }

  private static void sealOnBehalf(
      Input input, IncarnationWindow usage, UsageRow row, Transaction.Builder transaction) {
    String key = UsageTables.prefix(usage.windowStartMillis()) + usage.incarnation();
    Row present = input.lateRows().get(key);
    long version = present == null ? Transaction.ABSENT : present.version();
    transaction
        .requireVersion(UsageTables.usage(usage.windowStartMillis(), usage.incarnation()), version)
        .put(
            UsageTables.usage(usage.windowStartMillis(), usage.incarnation()),
            new UsageRow(row.totals(), true).toJson());
  }

  private static UsageRow row(ImmutableMap<String, Row> rows, IncarnationWindow usage) {
    Row row = rows.get(UsageTables.prefix(usage.windowStartMillis()) + usage.incarnation());
    return row == null ? UsageRow.NONE : UsageRow.parse(row.value());
  }
}
