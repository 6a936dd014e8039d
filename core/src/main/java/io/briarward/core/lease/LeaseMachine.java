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
 * Takes, renews and gives up the lease on one duty.
 *
 * <p>The caller polls, carries out the action and passes the answer on, one store operation at a
 * time. An answer that does not come is resolved by reading the row and looking for the token of
 * the write; the same transaction is repeated until its outcome is known. The holder's deadline
 * counts from before the write was sent. A successor waits out the duration in the row, counted
 * from when it first saw the row's version, so that no two clocks are ever compared.
 *
 * <p>All times are milliseconds of one monotonic clock. Not thread-safe.
 */
public final class LeaseMachine {
  /** The table that holds one row for each duty. */
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
  private boolean pendingUnclear;

  private final OperationTracker operations;
  private long nextReadMillis = Long.MIN_VALUE;
  private long renewAtMillis;
  private long tokens;

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
   * Returns a machine that holds nothing yet.
   *
   * @param duty the duty, for instance {@code orders/nadi}
   * @param holder the incarnation of this process, never used by another one
   */
  public static LeaseMachine create(LeaseSettings settings, String duty, String holder) {
    return create(settings, duty, holder, other -> false);
  }

  /**
   * Returns a machine that holds nothing yet and need not wait for its predecessors' lease to
   * lapse.
   *
   * @param holder the incarnation of this process, never used by another one
   * @param predecessors which holders are surely dead since this process runs in their place
   */
  public static LeaseMachine create(
      LeaseSettings settings, String duty, String holder, Predicate<String> predecessors) {
    return new LeaseMachine(settings, duty, holder, predecessors);
  }

  /** Sets whether to take the lease when it is free; a lease that is held is kept. */
  public void setCandidate(boolean candidate) {
    this.candidate = candidate;
  }

  /** Sets whether to read the row also while no candidate, so as to know how old it is later. */
  public void setWatching(boolean watching) {
    this.watching = watching;
  }

  /** Returns whether the lease was last seen with a predecessor, so that nobody held it since. */
  public boolean heldByPredecessor() {
    return rowKnown && row.filter(each -> predecessors.test(each.holder())).isPresent();
  }

  /**
   * Gives the lease up: {@link #guard} is empty from now on, and the row is marked.
   *
   * <p>To be called once every order sent under the lease has been answered or cut off, since a
   * successor does not wait after a release.
   */
  public void release() {
    releasing = true;
    candidate = false;
  }

  /** Returns whether a release is settled or nothing was held. */
  public boolean released(long nowMillis) {
    return releasing && !holds(nowMillis);
  }

  /** Returns the permission to act, if the lease is held and enough of it is left. */
  public Optional<LeaseGuard> guard(long nowMillis) {
    if (releasing || !holds(nowMillis)) {
      return Optional.empty();
    }
    LeaseGuard guard =
        new LeaseGuard(duty, fencingNumber, heldUntilMillis, settings.sendMarginMillis());
    return Optional.of(guard).filter(each -> each.mayStart(nowMillis));
  }

  /** Treats the lease as lost, for a receiver that refused its fencing number. */
  public void onStaleFencingNumber() {
    heldUntilMillis = Long.MIN_VALUE;
    rowKnown = false;
    nextReadMillis = Long.MIN_VALUE;
  }

  /** Returns the next action. */
  public LeaseAction poll(long nowMillis) {
    return poll(nowMillis, Optional.empty());
  }

  /**
   * Returns the next action.
   *
   * @param work writes to be applied together with a renewal, only if the lease is still held; the
   *     caller learns what became of them from {@link #onCommit} or {@link #onRead}, and hands in
   *     no other work before
   */
  public LeaseAction poll(long nowMillis, Optional<Transaction> work) {
    if (operations.expire(nowMillis)) {
      pendingUnclear = pending.isPresent();
    }
    if (!operations.ready(nowMillis)) {
      return NONE;
    }
    if (pending.isPresent()) {
      return pendingUnclear ? read(nowMillis) : commit(nowMillis, pending.get());
    }
    if (holds(nowMillis)) {
      return keep(nowMillis, work);
    }
    if (candidate) {
      return acquire(nowMillis);
    }
    return watching && !releasing && nowMillis >= nextReadMillis ? read(nowMillis) : NONE;
  }

  /**
   * Passes on the result of a {@link LeaseAction.Commit}.
   *
   * @param answered the operation's number; an outdated one is ignored
   */
  public WorkOutcome onCommit(long answered, long nowMillis, CommitResult result) {
    if (!operations.accept(answered)) {
      return WorkOutcome.NONE;
    }
    if (result instanceof CommitResult.Committed committed) {
      return applied(nowMillis, committed.versions().get(key));
    }
    CommitResult.Conflict conflict = (CommitResult.Conflict) result;
    Optional<Row> present = conflict.conflicts().get(key);
    if (present == null) {
      // Only conditions of the caller's work failed, so the lease's row is unchanged.
      return notApplied();
    }
    return observe(nowMillis, present);
  }

  /**
   * Passes on the result of a {@link LeaseAction.Read}.
   *
   * @param answered the operation's number; an outdated one is ignored
   */
  public WorkOutcome onRead(long answered, long nowMillis, Optional<Row> present) {
    if (!operations.accept(answered)) {
      return WorkOutcome.NONE;
    }
    return observe(nowMillis, present);
  }

  /**
   * Tells that an operation's outcome is unknown or that it was refused for now.
   *
   * @param answered the operation's number; an outdated one is ignored
   * @param retryAfterMillis the least delay before the next operation, 0 if none was given
   */
  public void onFailure(long answered, long nowMillis, long retryAfterMillis) {
    if (operations.fail(answered, nowMillis, retryAfterMillis)) {
      pendingUnclear = pending.isPresent();
    }
  }

  private boolean holds(long nowMillis) {
    return nowMillis < heldUntilMillis;
  }

  private LeaseAction keep(long nowMillis, Optional<Transaction> work) {
    if (releasing) {
      return write(nowMillis, fencingNumber, true, Optional.empty());
    }
    if (work.isPresent() || nowMillis >= renewAtMillis) {
      return write(nowMillis, fencingNumber, false, work);
    }
    return NONE;
  }

  private LeaseAction acquire(long nowMillis) {
    if (rowKnown && free(nowMillis)) {
      long next = row.map(LeaseRow::fencingNumber).orElse(0L) + 1;
      return write(nowMillis, next, false, Optional.empty());
    }
    return nowMillis >= nextReadMillis ? read(nowMillis) : NONE;
  }

  private boolean free(long nowMillis) {
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
    tokens++;
    LeaseRow value =
        new LeaseRow(holder, holder + '#' + tokens, number, settings.durationMillis(), release);
    Transaction.Builder transaction = Transaction.builder().requireVersion(key, rowVersion);
    transaction.put(key, value.toJson());
    work.ifPresent(each -> addAll(transaction, each));
    PendingWrite write =
        new PendingWrite(value, rowVersion, nowMillis, transaction.build(), work.isPresent());
    pending = Optional.of(write);
    pendingUnclear = false;
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

  private WorkOutcome observe(long nowMillis, Optional<Row> present) {
    Optional<LeaseRow> value = present.map(each -> LeaseRow.parse(each.value()));
    long version = present.map(Row::version).orElse(Transaction.ABSENT);
    if (pending.isPresent()) {
      PendingWrite write = pending.get();
      if (value.map(LeaseRow::token).equals(Optional.of(write.row().token()))) {
        return applied(nowMillis, version);
      }
      if (version == write.conditionVersion()) {
        // The write may still arrive, so it is repeated until it either applies or conflicts.
        pendingUnclear = false;
        return WorkOutcome.NONE;
      }
    }
    remember(nowMillis, value, version);
    heldUntilMillis = Long.MIN_VALUE;
    return notApplied();
  }

  private WorkOutcome applied(long nowMillis, long version) {
    PendingWrite write = pending.orElseThrow();
    pending = Optional.empty();
    remember(nowMillis, Optional.of(write.row()), version);
    fencingNumber = write.row().fencingNumber();
    heldUntilMillis =
        write.row().released()
            ? Long.MIN_VALUE
            : write.firstSentMillis() + write.row().durationMillis();
    renewAtMillis = write.firstSentMillis() + settings.renewAfterMillis();
    return write.hasWork() ? WorkOutcome.COMMITTED : WorkOutcome.NONE;
  }

  private WorkOutcome notApplied() {
    boolean hadWork = pending.map(PendingWrite::hasWork).orElse(false);
    pending = Optional.empty();
    return hadWork ? WorkOutcome.REFUSED : WorkOutcome.NONE;
  }

  private void remember(long nowMillis, Optional<LeaseRow> value, long version) {
    if (!rowKnown || version != rowVersion) {
      firstSeenMillis = nowMillis;
    }
    rowKnown = true;
    row = value;
    rowVersion = version;
  }
}
