package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/**
 * One write of an incarnation's counters of a window, merged with what the row already holds.
 *
 * <p>Commit {@link #transaction}; on a conflict, go on with {@link #afterConflict}. Repeating a
 * transaction whose answer was lost is harmless. Immutable and thread-safe.
 *
 * @param incarnation the incarnation that counted
 * @param windowStartMillis the start of the window
 * @param totals the counters, merged with those that the row is known to hold
 * @param seal whether the counters are final, which only their owner says
 * @param sequence the last record that the counters cover
 * @param owner the owner's own row, written with the counters; empty for a write on its behalf
 * @param rowVersion the version that the counters' row is thought to have
 * @param frozen whether the window is known to be frozen
 */
public record UsageFlush(
    String incarnation,
    long windowStartMillis,
    UsageTotals totals,
    boolean seal,
    long sequence,
    Optional<IncarnationRow> owner,
    long rowVersion,
    boolean frozen) {
  /** Checks the fields. */
  public UsageFlush {
    checkNotNull(incarnation, "incarnation");
    checkNotNull(totals, "totals");
    checkNotNull(owner, "owner");
  }

  /** Returns a write by a holder of copies. */
  public static UsageFlush onBehalf(
      String incarnation, long windowStartMillis, UsageTotals totals, long sequence) {
    return new UsageFlush(
        incarnation,
        windowStartMillis,
        totals,
        false,
        sequence,
        Optional.empty(),
        Transaction.ABSENT,
        false);
  }

  /**
   * Returns a write by the owner.
   *
   * @param rowVersion the version that the owner wrote last, {@link Transaction#ABSENT} at first
   */
  public static UsageFlush byOwner(
      String incarnation,
      long windowStartMillis,
      UsageTotals totals,
      boolean seal,
      long sequence,
      IncarnationRow row,
      long rowVersion) {
    return new UsageFlush(
        incarnation,
        windowStartMillis,
        totals,
        seal,
        sequence,
        Optional.of(row),
        rowVersion,
        false);
  }

  /** Returns the transaction to commit. */
  public Transaction transaction() {
    Transaction.Builder transaction = Transaction.builder();
    if (!totals.isEmpty()) {
      addCounters(transaction);
    }
    owner.ifPresent(row -> transaction.put(UsageTables.incarnation(incarnation), row.toJson()));
    return transaction.build();
  }

  /** Returns what to commit next, or empty if there is nothing left to do. */
  public Optional<UsageFlush> afterConflict(CommitResult.Conflict conflict) {
    RowKey key = UsageTables.usage(windowStartMillis, incarnation);
    RowKey frozenKey = UsageTables.frozen(windowStartMillis);
    boolean frozenNow = frozen || conflict.conflicts().containsKey(frozenKey);
    Optional<Row> row = conflict.conflicts().get(key);
    if (row == null) {
      return Optional.of(with(totals, rowVersion, frozenNow));
    }
    if (row.isEmpty()) {
      return Optional.of(with(totals, Transaction.ABSENT, frozenNow));
    }
    UsageRow present = UsageRow.parse(row.get().value());
    if (present.sealed()) {
      // Final counters cover everything that was ever counted, so only the owner's row is left.
      return owner.map(each -> with(UsageTotals.EMPTY, row.get().version(), frozenNow));
    }
    return Optional.of(with(totals.join(present.totals()), row.get().version(), frozenNow));
  }

  private void addCounters(Transaction.Builder transaction) {
    RowKey key = UsageTables.usage(windowStartMillis, incarnation);
    transaction.requireVersion(key, rowVersion);
    transaction.put(key, new UsageRow(totals, seal).toJson());
    if (frozen) {
      transaction.put(
          UsageTables.late(windowStartMillis, incarnation), JsonNodeFactory.instance.objectNode());
    } else {
      transaction.requireAbsent(UsageTables.frozen(windowStartMillis));
    }
  }

  private UsageFlush with(UsageTotals newTotals, long newVersion, boolean newFrozen) {
    return new UsageFlush(
        incarnation, windowStartMillis, newTotals, seal, sequence, owner, newVersion, newFrozen);
  }
}
