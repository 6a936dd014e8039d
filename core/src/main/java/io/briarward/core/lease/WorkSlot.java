package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import io.briarward.core.platform.Transaction;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Holds the writes that wait to be applied with a renewal, until their outcome is known.
 *
 * <p>Not thread-safe.
 */
public final class WorkSlot {
  private Optional<Waiting> waiting = Optional.empty();
  private boolean handedIn;

  private WorkSlot() {}

  private record Waiting(Transaction work, Consumer<Boolean> outcome) {}

  /** Returns an empty slot. */
  public static WorkSlot create() {
    return new WorkSlot();
  }

  /** Returns whether no writes are waiting. */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * Puts writes into the slot.
   *
   * @param outcome is told once whether the writes were applied
   * @throws IllegalStateException if the slot is not empty
   */
  public void offer(Transaction work, Consumer<Boolean> outcome) {
    checkState(isEmpty(), "other work is waiting");
    checkNotNull(work, "work");
    waiting = Optional.of(new Waiting(work, outcome));
    handedIn = false;
  }

  /** Polls the lease with the waiting writes, or refuses them if the lease is not held. */
  public LeaseAction poll(LeaseMachine lease, long nowMillis) {
    if (!handedIn && waiting.isPresent() && lease.guard(nowMillis).isEmpty()) {
      settle(WorkOutcome.REFUSED);
    }
    Optional<Transaction> work = handedIn ? Optional.empty() : waiting.map(Waiting::work);
    LeaseAction action = lease.poll(nowMillis, work);
    if (action instanceof LeaseAction.Commit commit && commit.withWork()) {
      handedIn = true;
    }
    return action;
  }

  /** Passes on what an event of the lease settled. */
  public void settle(WorkOutcome outcome) {
    if (outcome == WorkOutcome.NONE) {
      return;
    }
    Waiting settled = waiting.orElseThrow();
    waiting = Optional.empty();
    handedIn = false;
    settled.outcome.accept(outcome == WorkOutcome.COMMITTED);
  }
}
