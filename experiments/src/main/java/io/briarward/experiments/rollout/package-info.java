/**
 * Measurements of rollouts and weight swaps in virtual time.
 *
 * <p>{@link io.briarward.experiments.rollout.RolloutStepExperiment} is a typical example. The
 * planners are those of the core module; samplers, trainers and the weight store are simulated.
 */
package io.briarward.experiments.rollout;
