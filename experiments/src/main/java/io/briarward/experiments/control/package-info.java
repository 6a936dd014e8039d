/**
 * Measurements of leases, usage reports and capacity.
 *
 * <p>Start with {@link io.briarward.experiments.control.CapacityPolicies}; each class that
 * implements {@link io.briarward.experiments.Experiment} prints one table.
 */
package io.briarward.experiments.control;
