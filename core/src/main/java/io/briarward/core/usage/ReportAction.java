package io.briarward.core.usage;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;

/** The next action for the caller of a {@link ReportMachine} to perform. */
public sealed interface ReportAction {
  /**
   * Reads a row with strong consistency.
   *
   * @param operation the operation number to pass back with the row
   * @param row the key of the row
   */
  record Read(long operation, RowKey row) implements ReportAction {}

  /**
   * Reads every row of a table whose key starts with a prefix.
   *
   * @param operation the operation number to pass back with the rows
   * @param table the table
   * @param prefix the prefix of the keys
   */
  record Scan(long operation, String table, String prefix) implements ReportAction {}

  /**
   * Commits writes together with a renewal of the lease.
   *
   * @param operation the operation number to pass back with the outcome
   * @param transaction the writes
   */
  record Work(long operation, Transaction transaction) implements ReportAction {}

  /**
   * Sends a report, provided that the guard still permits it immediately before sending.
   *
   * @param operation the operation number to pass back with the outcome
   * @param organisation the organisation that is billed
   * @param windowStartMillis the start of the window
   * @param figures the frozen figures
   * @param guard the permission to send, with the fencing number
   */
  record Send(
      long operation,
      String organisation,
      long windowStartMillis,
      JsonNode figures,
      LeaseGuard guard)
      implements ReportAction {}

  /** Does nothing until the next poll. */
  record None() implements ReportAction {}
}
