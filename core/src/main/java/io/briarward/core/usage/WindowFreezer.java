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
 * Decides what is billed for a window.
 *
 * <p>A window bills its own counters in full, and of every counter left open by its predecessor
 * what was gained since. A counter stays open until its owner has sealed it or the retention has
 * passed, after which it is sealed on the owner's behalf and can grow no more.
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
   * What the table service held.
   *
   * @param registrationsVersion the version of the row {@link UsageTables#registrations}, read
   *     before everything else
   * @param unsealed the incarnations that had not sealed the window; read before {@code rows}
   * @param rows the window's rows of {@link UsageTables#USAGE}, by key
   * @param late the marks of late usage of earlier windows
   * @param lateRows the rows of the usage marked and left open, by key; absent ones are left out
   * @param forgotten the incarnations that ended or were silent for the whole retention, whose rows
   *     are deleted
   */
  public record Input(
      long registrationsVersion,
      ImmutableSet<String> unsealed,
      ImmutableMap<String, Row> rows,
      ImmutableSortedSet<OpenUsage> late,
      ImmutableMap<String, Row> lateRows,
      ImmutableSet<String> forgotten) {}

  /**
   * What to write.
   *
   * @param window the frozen window
   * @param transaction writes the window only if it is not frozen yet
   */
  public record Result(FrozenWindow window, Transaction transaction) {}

  /** Returns a freezer of the window after {@code previous}. */
  public static WindowFreezer after(UsageSettings settings, FrozenWindow previous) {
    return new WindowFreezer(settings, previous);
  }

  /** Returns the start of the window to freeze. */
  public long windowStartMillis() {
    return windowStartMillis;
  }

  /** Returns the counters of earlier windows whose rows have to be read, given the late marks. */
  public ImmutableSortedSet<OpenUsage> earlier(ImmutableSortedSet<OpenUsage> late) {
    return ImmutableSortedSet.<OpenUsage>naturalOrder()
        .addAll(previous.open().keySet())
        .addAll(late.headSet(new OpenUsage(windowStartMillis, "")))
        .build();
  }

  /**
   * Returns the frozen window.
   *
   * @param reported the start of the last window whose reports were all accepted
   */
  public Result freeze(Input input, long reported) {
    checkArgument(reported < windowStartMillis, "window %s is reported already", reported);
    Transaction.Builder transaction = Transaction.builder();
    Map<OpenUsage, UsageTotals> open = new TreeMap<>();
    UsageTotals figures = own(input, open).plus(carried(input, open, transaction));
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

  private UsageTotals own(Input input, Map<OpenUsage, UsageTotals> open) {
    UsageTotals figures = UsageTotals.EMPTY;
    for (Row row : input.rows().values()) {
      figures = figures.plus(UsageRow.parse(row.value()).totals());
    }
    for (String incarnation : input.unsealed()) {
      UsageRow row = row(input.rows(), new OpenUsage(windowStartMillis, incarnation));
      open.put(new OpenUsage(windowStartMillis, incarnation), row.totals());
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

  private UsageTotals carried(
      Input input, Map<OpenUsage, UsageTotals> open, Transaction.Builder transaction) {
    long oldestMillis = windowStartMillis - settings.retentionWindows() * settings.windowMillis();
    UsageTotals figures = UsageTotals.EMPTY;
    for (OpenUsage usage : earlier(input.late())) {
      UsageTotals billed = previous.open().getOrDefault(usage, UsageTotals.EMPTY);
      UsageRow row = row(input.lateRows(), usage);
      figures = figures.plus(row.totals().minus(billed));
      if (row.totals().isEmpty()) {
        // A write that comes from now on finds the window frozen and leaves a mark.
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
      Input input, OpenUsage usage, UsageRow row, Transaction.Builder transaction) {
    String key = UsageTables.prefix(usage.windowStartMillis()) + usage.incarnation();
    Row present = input.lateRows().get(key);
    long version = present == null ? Transaction.ABSENT : present.version();
    transaction
        .requireVersion(UsageTables.usage(usage.windowStartMillis(), usage.incarnation()), version)
        .put(
            UsageTables.usage(usage.windowStartMillis(), usage.incarnation()),
            new UsageRow(row.totals(), true).toJson());
  }

  private static UsageRow row(ImmutableMap<String, Row> rows, OpenUsage usage) {
    Row row = rows.get(UsageTables.prefix(usage.windowStartMillis()) + usage.incarnation());
    return row == null ? UsageRow.NONE : UsageRow.parse(row.value());
  }
}
