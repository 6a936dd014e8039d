package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/**
 * A write of an incarnation's counters of one window, merged with the counters already stored.
 *
 * <p>Commit {@link #transaction}; on a conflict, continue with {@link #afterConflict}. The
 * transaction is idempotent and may be retried if its answer was lost. Immutable and thread-safe.
 *
 * @param incarnation the incarnation that counted
 * @param windowStartMillis the start of the window
 * @param totals the counters, merged with the known stored ones
 * @param seal whether the counters are final; set only by their owner
 * @param sequence the sequence number of the last record that the counters cover
 * @param owner the incarnation's own row, written with the counters; empty for a write by a copy
 *     holder
 * @param rowVersion the expected version of the counters' row
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

  /** Returns a write by a copy holder on behalf of the owner. */
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
   * Returns a write by the owner of the counters.
   *
   * @param rowVersion the row version that the owner wrote last, or {@link Transaction#ABSENT}
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

  /** Returns the write to commit after a conflict, or empty if nothing is left to write. */
  public Optional<UsageFlush> afterConflict(CommitResult.Conflict conflict) {
    RowKey key = UsageTables.usage(windowStartMillis, incarnation);
    RowKey frozenKey = UsageTables.frozen(windowStartMillis);
    boolean frozenNow = frozen || conflict.conflicts().containsKey(frozenKey);
    Optional<Row> row = conflict.conflicts().get(key);
    if (row == null) {
      return Optional.of(withState(totals, rowVersion, frozenNow));
    }
    if (row.isEmpty()) {
      return Optional.of(withState(totals, Transaction.ABSENT, frozenNow));
    }
    UsageRow present = UsageRow.parse(row.get().value());
    if (present.sealed()) {
      // Sealed counters are complete, so only the owner's row is left to write.
      return owner.map(each -> withState(UsageTotals.EMPTY, row.get().version(), frozenNow));
    }
    return Optional.of(withState(totals.join(present.totals()), row.get().version(), frozenNow));
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

  private UsageFlush withState(UsageTotals newTotals, long newVersion, boolean newFrozen) {
    return new UsageFlush(
        incarnation, windowStartMillis, newTotals, seal, sequence, owner, newVersion, newFrozen);
  }
}
