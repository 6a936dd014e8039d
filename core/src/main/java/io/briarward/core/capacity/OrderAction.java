package io.briarward.core.capacity;

import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.platform.Transaction;

/** The next action for the caller of an {@link OrderMachine}. */
public sealed interface OrderAction {
  /**
   * Reads all rows of a table whose keys start with a prefix.
   *
   * @param operation the operation number to pass back with the rows
   * @param table the name of the table
   * @param prefix the prefix of the keys
   */
  record Scan(long operation, String table, String prefix) implements OrderAction {}

  /**
   * Requests the list of the data centre's upstreams from the platform.
   *
   * @param operation the operation number to pass back with the upstreams
   */
  record List(long operation) implements OrderAction {}

  /**
   * Commits writes in one transaction with a renewal of the lease.
   *
   * @param operation the operation number to pass back with the outcome
   * @param transaction the writes
   */
  record Work(long operation, Transaction transaction) implements OrderAction {}

  /**
   * Sends an order, if the guard still permits it immediately before sending.
   *
   * @param operation the operation number to pass back with the answer
   * @param order the start or stop order to send
   * @param guard the permission to send, with the fencing number
   */
  record Send(long operation, Order order, LeaseGuard guard) implements OrderAction {}

  /** No action is required before the next poll. */
  record None() implements OrderAction {}
}
