package io.briarward.core.usage;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;

/** What the caller of a {@link ReportMachine} has to do next. */
public sealed interface ReportAction {
  /**
   * Read a row, with full consistency.
   *
   * @param operation the number to give back with the row
   * @param row the row's address
   */
  record Read(long operation, RowKey row) implements ReportAction {}

  /**
   * Read every row of a table whose key starts with a prefix.
   *
   * @param operation the number to give back with the rows
   * @param table the table
   * @param prefix what the keys start with
   */
  record Scan(long operation, String table, String prefix) implements ReportAction {}

  /**
   * Commit writes together with a renewal of the lease.
   *
   * @param operation the number to give back with the outcome
   * @param transaction the writes
   */
  record Work(long operation, Transaction transaction) implements ReportAction {}

  /**
   * Send a report, if the guard still allows it directly before the bytes leave.
   *
   * @param operation the number to give back with the outcome
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

  /** Nothing to do before the next poll. */
  record None() implements ReportAction {}
}
