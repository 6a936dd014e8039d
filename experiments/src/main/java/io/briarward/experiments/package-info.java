/**
 * Measurements of the decisions, repeatable from a seed.
 *
 * <p>Start with {@link io.briarward.experiments.Experiments}, which lists them by name.
 */
package io.briarward.experiments;
