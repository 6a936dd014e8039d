/**
 * Measures what a node adds to a request, compared with a direct call in the same run.
 *
 * <p>{@link io.briarward.experiments.bench.Bench} is the entry point.
 */
package io.briarward.experiments.bench;
