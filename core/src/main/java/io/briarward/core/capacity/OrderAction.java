package io.briarward.core.capacity;

import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.platform.Transaction;

/** What the caller of an {@link OrderMachine} has to do next. */
public sealed interface OrderAction {
  /**
   * Read every row of a table whose key starts with a prefix.
   *
   * @param operation the number to give back with the rows
   * @param table the table
   * @param prefix what the keys start with
   */
  record Scan(long operation, String table, String prefix) implements OrderAction {}

  /**
   * Ask the platform for the data centre's upstreams.
   *
   * @param operation the number to give back with the upstreams
   */
  record List(long operation) implements OrderAction {}

  /**
   * Commit writes together with a renewal of the lease.
   *
   * @param operation the number to give back with the outcome
   * @param transaction the writes
   */
  record Work(long operation, Transaction transaction) implements OrderAction {}

  /**
   * Send an order, if the guard still allows it directly before the bytes leave.
   *
   * @param operation the number to give back with the answer
   * @param order what to send, a start or a stop
   * @param guard the permission to send, with the fencing number
   */
  record Send(long operation, Order order, LeaseGuard guard) implements OrderAction {}

  /** Nothing to do before the next poll. */
  record None() implements OrderAction {}
}
