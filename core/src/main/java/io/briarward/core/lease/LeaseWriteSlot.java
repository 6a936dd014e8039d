package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import io.briarward.core.platform.Transaction;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Holds at most one set of writes to commit with a lease renewal, until their outcome is known.
 *
 * <p>Not thread-safe.
 */
public final class LeaseWriteSlot {
  private Optional<Entry> entry = Optional.empty();
  private boolean submitted;

  private LeaseWriteSlot() {}

  private record Entry(Transaction work, Consumer<Boolean> callback) {}

  /** Creates an empty slot. */
  public static LeaseWriteSlot create() {
    return new LeaseWriteSlot();
  }

  /** Returns whether the slot holds no writes. */
  public boolean isEmpty() {
    return entry.isEmpty();
  }

  /**
   * Puts writes into the slot.
   *
   * @param callback called once with whether the writes were committed
   * @throws IllegalStateException if the slot is not empty
   */
  public void offer(Transaction work, Consumer<Boolean> callback) {
    checkState(isEmpty(), "slot already holds writes");
    checkNotNull(work, "work");
    entry = Optional.of(new Entry(work, callback));
    submitted = false;
  }

  /**
   * Polls the lease with the writes in the slot.
   *
   * <p>Writes that were not submitted before are rejected if {@link LeaseMachine#guard} returns
   * empty.
   */
  public LeaseAction poll(LeaseMachine lease, long nowMillis) {
    if (!submitted && entry.isPresent() && lease.guard(nowMillis).isEmpty()) {
      settle(LeaseWriteOutcome.REFUSED);
    }
    Optional<Transaction> work = submitted ? Optional.empty() : entry.map(Entry::work);
    LeaseAction action = lease.poll(nowMillis, work);
    if (action instanceof LeaseAction.Commit commit && commit.withWork()) {
      submitted = true;
    }
    return action;
  }

  /** Empties the slot and calls its callback, unless {@code outcome} is {@code NONE}. */
  public void settle(LeaseWriteOutcome outcome) {
    if (outcome == LeaseWriteOutcome.NONE) {
      return;
    }
    Entry settled = entry.orElseThrow();
    entry = Optional.empty();
    submitted = false;
    settled.callback.accept(outcome == LeaseWriteOutcome.COMMITTED);
  }
}
