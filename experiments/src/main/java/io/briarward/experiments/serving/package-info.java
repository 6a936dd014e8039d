/**
 * Measurements of routing and admission.
 *
 * <p>Each is an {@link io.briarward.experiments.Experiment} with fake upstreams in virtual time;
 * {@link io.briarward.experiments.serving.RoutingCost} alone reads the system clock.
 */
package io.briarward.experiments.serving;
