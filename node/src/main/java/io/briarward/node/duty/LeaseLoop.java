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

/** Carries out the store operations of one lease. To be used on the scheduler's thread only. */
public final class LeaseLoop {
  private final TableService tables;
  private final Scheduler scheduler;
  private final LeaseMachine machine;
  private final LeaseWriteSlot slot = LeaseWriteSlot.create();

  private LeaseLoop(TableService tables, Scheduler scheduler, LeaseMachine machine) {
    this.tables = checkNotNull(tables, "tables");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.machine = checkNotNull(machine, "machine");
  }

  static LeaseLoop create(
      TableService tables, Scheduler scheduler, String duty, String incarnation) {
    return create(tables, scheduler, LeaseSettings.defaults(), duty, incarnation, other -> false);
  }

  /**
   * Returns a loop that holds nothing yet.
   *
   * @param duty the key of the lease's row
   * @param incarnation unique to this process
   * @param predecessors which incarnations are surely dead since this process runs in their place
   */
  public static LeaseLoop create(
      TableService tables,
      Scheduler scheduler,
      LeaseSettings settings,
      String duty,
      String incarnation,
      Predicate<String> predecessors) {
    LeaseMachine machine = LeaseMachine.create(settings, duty, incarnation, predecessors);
    return new LeaseLoop(tables, scheduler, machine);
  }

  /** Returns the permission to act, if the lease is held and enough of it is left. */
  public Optional<LeaseGuard> guard() {
    return machine.guard(nowMillis());
  }

  /** Sets whether to take the lease when it is free. */
  public void setCandidate(boolean candidate) {
    machine.setCandidate(candidate);
  }

  /** Sets whether to read the row also while no candidate. */
  public void setWatching(boolean watching) {
    machine.setWatching(watching);
  }

  /** Returns whether the lease was last seen with a predecessor, so that nobody held it since. */
  public boolean heldByPredecessor() {
    return machine.isHeldByPredecessor();
  }

  /** Gives the lease up, once nothing that was sent under it waits for its answer. */
  public void release() {
    machine.release();
  }

  /** Returns whether a release is settled or nothing was held. */
  public boolean released() {
    return machine.released(nowMillis());
  }

  /** Treats the lease as lost. */
  public void onStaleFencingNumber() {
    machine.onStaleFencingNumber();
  }

  /** Commits writes with the next renewal. */
  void submit(Transaction work, Consumer<Boolean> outcome) {
    slot.offer(work, outcome);
  }

  /** Carries out the next operation, if one is due. */
  public void step() {
    LeaseAction action = slot.poll(machine, nowMillis());
    if (action instanceof LeaseAction.Read read) {
      StoreCalls.subscribe(
          tables.read(read.row()),
          scheduler,
          row -> slot.settle(machine.onRead(read.operation(), nowMillis(), row)),
          () -> machine.onFailure(read.operation(), nowMillis(), 0));
    } else if (action instanceof LeaseAction.Commit commit) {
      StoreCalls.subscribe(
          tables.commit(commit.transaction()),
          scheduler,
          result -> slot.settle(machine.onCommit(commit.operation(), nowMillis(), result)),
          () -> machine.onFailure(commit.operation(), nowMillis(), 0));
    }
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
