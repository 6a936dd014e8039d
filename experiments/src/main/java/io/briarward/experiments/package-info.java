/**
 * Measurements of the core's decision logic, with all random choices derived from a seed.
 *
 * <p>{@link io.briarward.experiments.Experiments} lists them by name.
 */
package io.briarward.experiments;
