/**
 * What a node adds to a request, compared with a direct call in the same run.
 *
 * <p>Start with {@link io.briarward.experiments.bench.Bench}.
 */
package io.briarward.experiments.bench;
