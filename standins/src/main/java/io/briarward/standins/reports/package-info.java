/**
 * The stand-in for the platform's interface that accepts usage reports.
 *
 * <p>Start with {@link io.briarward.standins.reports.ReportStandIn}.
 */
package io.briarward.standins.reports;
