package io.briarward.node.duty;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.lease.LeaseAction;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.lease.LeaseMachine;
import io.briarward.core.lease.LeaseSettings;
import io.briarward.core.lease.LeaseWriteSlot;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Executes the store operations of one lease, as decided by a {@link LeaseMachine}.
 *
 * <p>Confined to the scheduler's thread.
 */
public final class LeaseRunner {
  private final TableService tables;
  private final Scheduler scheduler;
  private final LeaseMachine machine;
  private final LeaseWriteSlot writeSlot = LeaseWriteSlot.create();

  private LeaseRunner(TableService tables, Scheduler scheduler, LeaseMachine machine) {
    this.tables = checkNotNull(tables, "tables");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.machine = checkNotNull(machine, "machine");
  }

  static LeaseRunner create(
      TableService tables, Scheduler scheduler, String duty, String incarnation) {
    return create(tables, scheduler, LeaseSettings.defaults(), duty, incarnation, other -> false);
  }

  /**
   * Creates a runner that does not hold the lease yet.
   *
   * @param duty the name of the duty, which is the key of the lease's row
   * @param incarnation the incarnation of this process, unique among all processes
   * @param predecessors matches the incarnations that are known to be dead because this process
   *     runs in their place
   */
  public static LeaseRunner create(
      TableService tables,
      Scheduler scheduler,
      LeaseSettings settings,
      String duty,
      String incarnation,
      Predicate<String> predecessors) {
    LeaseMachine machine = LeaseMachine.create(settings, duty, incarnation, predecessors);
    return new LeaseRunner(tables, scheduler, machine);
  }

  /**
   * Returns the permission to act as the lease holder; empty if the lease is not held, is being
   * released or is about to expire.
   */
  public Optional<LeaseGuard> guard() {
    return machine.guard(nowMillis());
  }

  /** Sets whether to acquire the lease when it is free. */
  public void setCandidate(boolean candidate) {
    machine.setCandidate(candidate);
  }

  /** Sets whether to read the row even while this process is not a candidate. */
  public void setWatching(boolean watching) {
    machine.setWatching(watching);
  }

  /**
   * Returns whether the row, as last read, names a predecessor as the lease holder, so no other
   * process has held the lease since.
   */
  public boolean heldByPredecessor() {
    return machine.isHeldByPredecessor();
  }

  /**
   * Releases the lease. Call this only when no call sent under the lease is in flight, since a
   * successor does not wait after a release.
   */
  public void release() {
    machine.release();
  }

  /** Returns whether {@link #release} was called and the lease is no longer held. */
  public boolean released() {
    return machine.released(nowMillis());
  }

  /** Treats the lease as lost because a receiver rejected its fencing number as stale. */
  public void onStaleFencingNumber() {
    machine.onStaleFencingNumber();
  }

  /**
   * Commits writes together with the next renewal.
   *
   * @param callback called once with whether the writes were committed
   * @throws IllegalStateException if earlier writes are still pending
   */
  void submit(Transaction work, Consumer<Boolean> callback) {
    writeSlot.offer(work, callback);
  }

  /** Starts the next store operation, if one is due. */
  public void step() {
    LeaseAction action = writeSlot.poll(machine, nowMillis());
    if (action instanceof LeaseAction.Read read) {
      PlatformCalls.subscribe(
          tables.read(read.row()),
          scheduler,
          row -> writeSlot.settle(machine.onRead(read.operation(), nowMillis(), row)),
          () -> machine.onFailure(read.operation(), nowMillis(), 0));
    } else if (action instanceof LeaseAction.Commit commit) {
      PlatformCalls.subscribe(
          tables.commit(commit.transaction()),
          scheduler,
          result -> writeSlot.settle(machine.onCommit(commit.operation(), nowMillis(), result)),
          () -> machine.onFailure(commit.operation(), nowMillis(), 0));
    }
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
