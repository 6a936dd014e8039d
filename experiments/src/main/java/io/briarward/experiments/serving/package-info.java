/**
 * Measurements of routing and admission.
 *
 * <p>Each is an {@link io.briarward.experiments.Experiment} with small fakes of upstreams in
 * virtual time; only {@link io.briarward.experiments.serving.RoutingCost} reads the machine's
 * clock.
 */
package io.briarward.experiments.serving;
