package io.briarward.core.lease;

import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;

/** An action that a {@link LeaseMachine} asks its caller to execute. */
public sealed interface LeaseAction {
  /**
   * Commits a transaction and passes its result to {@link LeaseMachine#onCommit}.
   *
   * @param operation the operation number to pass back with the result
   * @param transaction the transaction to commit
   * @param withWork whether the transaction includes the writes passed to {@link LeaseMachine#poll}
   */
  record Commit(long operation, Transaction transaction, boolean withWork) implements LeaseAction {}

  /**
   * Reads a row with strong consistency and passes it to {@link LeaseMachine#onRead}.
   *
   * @param operation the operation number to pass back with the row
   * @param row the key of the row
   */
  record Read(long operation, RowKey row) implements LeaseAction {}

  /** Does nothing until the next poll. */
  record None() implements LeaseAction {}
}
