package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A report to send to another node.
 *
 * @param home the id of the limit's coordinator, which receives the report
 * @param report the report
 */
public record OutgoingReport(String home, ShareReport report) {
  /** Checks the fields. */
  public OutgoingReport {
    checkNotNull(home, "home");
    checkNotNull(report, "report");
  }
}
