/**
 * Rollouts: complete groups of samples, each delivered exactly once with the weight versions that
 * generated it.
 *
 * <p>Start with {@link io.briarward.core.rollout.RolloutSpec}, a trainer's request. {@link
 * io.briarward.core.rollout.RolloutPlanner} schedules the attempts of one shard of a rollout, and
 * {@link io.briarward.core.rollout.RolloutView} records complete groups and selects the groups to
 * deliver. Nothing in this package performs input or output; the time is passed in.
 */
package io.briarward.core.rollout;
