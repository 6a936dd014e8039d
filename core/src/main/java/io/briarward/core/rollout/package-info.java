/**
 * Rollouts: whole groups of samples, each delivered exactly once with the weight versions that
 * produced it.
 *
 * <p>Start with {@link io.briarward.core.rollout.RolloutSpec}, what a trainer asks for. {@link
 * io.briarward.core.rollout.RolloutPlanner} runs one shard of a rollout on the samplers, {@link
 * io.briarward.core.rollout.OutcomeAppender} records complete groups and {@link
 * io.briarward.core.rollout.RolloutView} decides what a trainer is given. Nothing here does input
 * or output; time is passed in.
 */
package io.briarward.core.rollout;
