/**
 * Metrics, traces and the event log of a node.
 *
 * <p>Start with {@link io.briarward.node.telemetry.Metrics}, {@link
 * io.briarward.node.telemetry.Tracing} and {@link io.briarward.node.telemetry.EventLog}.
 */
package io.briarward.node.telemetry;
