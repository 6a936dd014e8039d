package io.briarward.core.lease;

import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;

/** What the caller of a {@link LeaseMachine} has to do next. */
public sealed interface LeaseAction {
  /**
   * Commit a transaction and pass on its result.
   *
   * @param operation the number to give back with the result
   * @param transaction what to commit
   * @param withWork whether the transaction carries the writes that were handed in
   */
  record Commit(long operation, Transaction transaction, boolean withWork) implements LeaseAction {}

  /**
   * Read a row, with full consistency, and pass it on.
   *
   * @param operation the number to give back with the row
   * @param row the row's address
   */
  record Read(long operation, RowKey row) implements LeaseAction {}

  /** Nothing to do before the next poll. */
  record None() implements LeaseAction {}
}
