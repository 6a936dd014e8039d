package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * State machine that acquires, renews and releases the lease on one duty.
 *
 * <p>The caller polls, executes the returned action and passes back its result; at most one store
 * operation is outstanding at a time. If the result of a commit is lost, the machine reads the row
 * and looks for the token of its write; it retries the same transaction until the outcome is known.
 * The lease expires for its holder one duration after the write was first sent, not after it was
 * acknowledged. A successor waits for the duration stored in the row, measured from when it first
 * saw the row's version, so clocks of different processes are never compared.
 *
 * <p>All times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class LeaseMachine {
  /** The table of leases, with one row per duty. */
  public static final String TABLE = "leases";

  private static final LeaseAction NONE = new LeaseAction.None();

  private final LeaseSettings settings;
  private final String duty;
  private final RowKey key;
  private final String holder;
  private final Predicate<String> predecessors;

  private boolean candidate = true;
  private boolean watching;
  private boolean releasing;

  private boolean rowKnown;
  private Optional<LeaseRow> row = Optional.empty();
  private long rowVersion = Transaction.ABSENT;
  private long firstSeenMillis;

  private long fencingNumber;
  private long heldUntilMillis = Long.MIN_VALUE;

  private Optional<PendingWrite> pending = Optional.empty();
  private boolean pendingOutcomeUnknown;

  private final OperationTracker operations;
  private long nextReadMillis = Long.MIN_VALUE;
  private long renewAtMillis;
  private long tokenCount;

  private LeaseMachine(
      LeaseSettings settings, String duty, String holder, Predicate<String> predecessors) {
    this.settings = checkNotNull(settings, "settings");
    this.duty = checkNotNull(duty, "duty");
    this.holder = checkNotNull(holder, "holder");
    this.predecessors = checkNotNull(predecessors, "predecessors");
    checkArgument(!duty.isEmpty(), "duty is empty");
    checkArgument(!holder.isEmpty(), "holder is empty");
    this.key = RowKey.of(TABLE, duty);
    this.operations = OperationTracker.create(settings.requestTimeoutMillis(), settings.backoff());
  }

  /**
   * Creates a machine that does not hold the lease yet.
   *
   * @param duty the name of the duty, such as {@code orders/nadi}
   * @param holder the incarnation of this process, unique among all processes
   */
  public static LeaseMachine create(LeaseSettings settings, String duty, String holder) {
    return create(settings, duty, holder, other -> false);
  }

  /**
   * Creates a machine that does not hold the lease yet and that takes over from predecessors
   * without waiting for their lease to expire.
   *
   * @param holder the incarnation of this process, unique among all processes
   * @param predecessors matches the lease holders that are known to be dead because this process
   *     runs in their place
   */
  public static LeaseMachine create(
      LeaseSettings settings, String duty, String holder, Predicate<String> predecessors) {
    return new LeaseMachine(settings, duty, holder, predecessors);
  }

  /** Sets whether to acquire the lease when it is free. A lease already held is kept either way. */
  public void setCandidate(boolean candidate) {
    this.candidate = candidate;
  }

  /**
   * Sets whether to read the row even while this process is not a candidate.
   *
   * <p>A successor waits from when it first saw the row's version; watching starts that wait before
   * the process becomes a candidate.
   */
  public void setWatching(boolean watching) {
    this.watching = watching;
  }

  /**
   * Returns whether the row, as last read, names a predecessor as the lease holder, so no other
   * process has held the lease since.
   */
  public boolean isHeldByPredecessor() {
    return rowKnown && row.filter(each -> predecessors.test(each.holder())).isPresent();
  }

  /**
   * Releases the lease: {@link #guard} returns empty from now on, and the next poll marks the row
   * as released.
   *
   * <p>Call this only after every order sent under the lease has been answered or aborted, because
   * a successor does not wait after a release.
   */
  public void release() {
    releasing = true;
    candidate = false;
  }

  /** Returns whether {@link #release} was called and the lease is no longer held. */
  public boolean released(long nowMillis) {
    return releasing && !isHeld(nowMillis);
  }

  /**
   * Returns the permission to act as the lease holder; empty if the lease is not held, is being
   * released or is within the send margin of its expiry.
   */
  public Optional<LeaseGuard> guard(long nowMillis) {
    if (releasing || !isHeld(nowMillis)) {
      return Optional.empty();
    }
    LeaseGuard guard =
        new LeaseGuard(duty, fencingNumber, heldUntilMillis, settings.sendMarginMillis());
    return Optional.of(guard).filter(each -> each.mayStart(nowMillis));
  }

  /** Treats the lease as lost because a receiver rejected its fencing number as stale. */
  public void onStaleFencingNumber() {
    heldUntilMillis = Long.MIN_VALUE;
    rowKnown = false;
    nextReadMillis = Long.MIN_VALUE;
  }

  /** Returns the next action, without additional writes. */
  public LeaseAction poll(long nowMillis) {
    return poll(nowMillis, Optional.empty());
  }

  /**
   * Returns the next action.
   *
   * @param work writes to commit atomically with a renewal, only if the lease is still held. {@link
   *     #onCommit} or {@link #onRead} returns their outcome; until then the caller must not pass
   *     other writes.
   */
  public LeaseAction poll(long nowMillis, Optional<Transaction> work) {
    if (operations.expire(nowMillis)) {
      pendingOutcomeUnknown = pending.isPresent();
    }
    if (!operations.ready(nowMillis)) {
      return NONE;
    }
    if (pending.isPresent()) {
      return pendingOutcomeUnknown ? read(nowMillis) : commit(nowMillis, pending.get());
    }
    if (isHeld(nowMillis)) {
      return renewOrRelease(nowMillis, work);
    }
    if (candidate) {
      return acquire(nowMillis);
    }
    return watching && !releasing && nowMillis >= nextReadMillis ? read(nowMillis) : NONE;
  }

  /**
   * Handles the result of a {@link LeaseAction.Commit}.
   *
   * @param operation the number of the operation; a result for any but the outstanding operation is
   *     ignored
   * @return the outcome of the writes passed to {@link #poll}; {@code NONE} if still undetermined
   */
  public LeaseWriteOutcome onCommit(long operation, long nowMillis, CommitResult result) {
    if (!operations.accept(operation)) {
      return LeaseWriteOutcome.NONE;
    }
    if (result instanceof CommitResult.Committed committed) {
      return onApplied(nowMillis, committed.versions().get(key));
    }
    CommitResult.Conflict conflict = (CommitResult.Conflict) result;
    Optional<Row> present = conflict.conflicts().get(key);
    if (present == null) {
      // Only conditions of the caller's writes failed, so the lease row is unchanged.
      return onNotApplied();
    }
    return onRow(nowMillis, present);
  }

  /**
   * Handles the result of a {@link LeaseAction.Read}.
   *
   * @param operation the number of the operation; a result for any but the outstanding operation is
   *     ignored
   * @return the outcome of the writes passed to {@link #poll}; {@code NONE} if still undetermined
   */
  public LeaseWriteOutcome onRead(long operation, long nowMillis, Optional<Row> present) {
    if (!operations.accept(operation)) {
      return LeaseWriteOutcome.NONE;
    }
    return onRow(nowMillis, present);
  }

  /**
   * Handles the failure of an operation whose outcome is unknown or that the store rejected
   * temporarily.
   *
   * @param operation the number of the operation; a failure of any but the outstanding operation is
   *     ignored
   * @param retryAfterMillis the minimum delay before the next operation, 0 if the store gave none
   */
  public void onFailure(long operation, long nowMillis, long retryAfterMillis) {
    if (operations.fail(operation, nowMillis, retryAfterMillis)) {
      pendingOutcomeUnknown = pending.isPresent();
    }
  }

  private boolean isHeld(long nowMillis) {
    return nowMillis < heldUntilMillis;
  }

  private LeaseAction renewOrRelease(long nowMillis, Optional<Transaction> work) {
    if (releasing) {
      return write(nowMillis, fencingNumber, true, Optional.empty());
    }
    if (work.isPresent() || nowMillis >= renewAtMillis) {
      return write(nowMillis, fencingNumber, false, work);
    }
    return NONE;
  }

  private LeaseAction acquire(long nowMillis) {
    if (rowKnown && isFree(nowMillis)) {
      long next = row.map(LeaseRow::fencingNumber).orElse(0L) + 1;
      return write(nowMillis, next, false, Optional.empty());
    }
    return nowMillis >= nextReadMillis ? read(nowMillis) : NONE;
  }

  private boolean isFree(long nowMillis) {
    if (row.isEmpty()) {
      return true;
    }
    LeaseRow present = row.get();
    if (present.released()
        || present.holder().equals(holder)
        || predecessors.test(present.holder())) {
      return true;
    }
    long waitMillis = settings.takeoverWaitMillis(present.durationMillis());
    return nowMillis - firstSeenMillis >= waitMillis;
  }

  private LeaseAction write(
      long nowMillis, long number, boolean release, Optional<Transaction> work) {
    tokenCount++;
    LeaseRow value =
        new LeaseRow(holder, holder + '#' + tokenCount, number, settings.durationMillis(), release);
    Transaction.Builder transaction = Transaction.builder().requireVersion(key, rowVersion);
    transaction.put(key, value.toJson());
    work.ifPresent(each -> addAll(transaction, each));
    PendingWrite write =
        new PendingWrite(value, rowVersion, nowMillis, transaction.build(), work.isPresent());
    pending = Optional.of(write);
    pendingOutcomeUnknown = false;
    return commit(nowMillis, write);
  }

  private static void addAll(Transaction.Builder transaction, Transaction work) {
    for (Transaction.Condition condition : work.conditions()) {
      transaction.requireVersion(condition.row(), condition.version());
    }
    for (Transaction.Write write : work.writes()) {
      write
          .value()
          .ifPresentOrElse(
              value -> transaction.put(write.row(), value), () -> transaction.delete(write.row()));
    }
  }

  private LeaseAction commit(long nowMillis, PendingWrite write) {
    return new LeaseAction.Commit(
        operations.begin(nowMillis), write.transaction(), write.hasWork());
  }

  private LeaseAction read(long nowMillis) {
    nextReadMillis = nowMillis + settings.watchMillis();
    return new LeaseAction.Read(operations.begin(nowMillis), key);
  }

  private LeaseWriteOutcome onRow(long nowMillis, Optional<Row> present) {
    Optional<LeaseRow> value = present.map(each -> LeaseRow.parse(each.value()));
    long version = present.map(Row::version).orElse(Transaction.ABSENT);
    if (pending.isPresent()) {
      PendingWrite write = pending.get();
      if (value.map(LeaseRow::token).equals(Optional.of(write.row().token()))) {
        return onApplied(nowMillis, version);
      }
      if (version == write.conditionVersion()) {
        // The write may still be in flight, so it is retried until it is applied or conflicts.
        pendingOutcomeUnknown = false;
        return LeaseWriteOutcome.NONE;
      }
    }
    setRow(nowMillis, value, version);
    heldUntilMillis = Long.MIN_VALUE;
    return onNotApplied();
  }

  private LeaseWriteOutcome onApplied(long nowMillis, long version) {
    PendingWrite write = pending.orElseThrow();
    pending = Optional.empty();
    setRow(nowMillis, Optional.of(write.row()), version);
    fencingNumber = write.row().fencingNumber();
    heldUntilMillis =
        write.row().released()
            ? Long.MIN_VALUE
            : write.firstSentMillis() + write.row().durationMillis();
    renewAtMillis = write.firstSentMillis() + settings.renewAfterMillis();
    return write.hasWork() ? LeaseWriteOutcome.COMMITTED : LeaseWriteOutcome.NONE;
  }

  private LeaseWriteOutcome onNotApplied() {
    boolean hadWork = pending.map(PendingWrite::hasWork).orElse(false);
    pending = Optional.empty();
    return hadWork ? LeaseWriteOutcome.REFUSED : LeaseWriteOutcome.NONE;
  }

  private void setRow(long nowMillis, Optional<LeaseRow> value, long version) {
    if (!rowKnown || version != rowVersion) {
      firstSeenMillis = nowMillis;
    }
    rowKnown = true;
    row = value;
    rowVersion = version;
  }
}
