/**
 * Measurements of leases, usage reports and capacity.
 *
 * <p>Each class that implements {@link io.briarward.experiments.Experiment} prints one table, for
 * example {@link io.briarward.experiments.control.CapacityPolicies}.
 */
package io.briarward.experiments.control;
