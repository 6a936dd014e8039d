package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A report to send to another node.
 *
 * @param coordinator the id of the limit's coordinator, which receives the report
 * @param report the report
 */
public record OutgoingReport(String coordinator, ShareReport report) {
  /** Checks the fields. */
  public OutgoingReport {
    checkNotNull(coordinator, "coordinator");
    checkNotNull(report, "report");
  }
}
