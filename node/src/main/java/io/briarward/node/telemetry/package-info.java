/**
 * Metrics and traces of a node.
 *
 * <p>Start with {@link io.briarward.node.telemetry.Metrics} and {@link
 * io.briarward.node.telemetry.Tracing}.
 */
package io.briarward.node.telemetry;
