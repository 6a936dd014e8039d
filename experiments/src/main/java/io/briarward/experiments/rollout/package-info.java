/**
 * Measurements of rollouts and weight swaps in virtual time.
 *
 * <p>Start with {@link io.briarward.experiments.rollout.RolloutStepExperiment}. The planners are
 * the real ones of the core; samplers, trainers and the weight store are small fakes.
 */
package io.briarward.experiments.rollout;
