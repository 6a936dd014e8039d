package io.briarward.core.rollout;

import com.google.common.collect.ImmutableSet;

/** An action that a {@link RolloutPlanner} asks its caller to execute. */
public sealed interface RolloutAction {
  /** Returns the id of the attempt to start or cancel. */
  String attemptId();

  /**
   * Starts an attempt to generate a sample.
   *
   * @param attemptId the unique id of the attempt and of its request to the engine
   * @param sampleId {@code GROUP/INDEX}
   * @param prompt the group's prompt
   * @param sampling the parameters with the sample's own seed; {@code maxTokens} limits all tokens
   *     of the sample, including the resumed ones
   * @param resumeText the text to continue; empty to start from the first token
   * @param resumeTokens the number of tokens of {@code resumeText}
   * @param minVersion the oldest weight version that the sampler may run
   * @param preferredVersion the oldest weight version that stays within the staleness bound after
   *     the next announcement
   * @param avoidSamplers the ids of samplers on which earlier attempts at this sample failed,
   *     became stale or were slow
   */
  record Dispatch(
      String attemptId,
      String sampleId,
      String prompt,
      SamplingParameters sampling,
      String resumeText,
      int resumeTokens,
      long minVersion,
      long preferredVersion,
      ImmutableSet<String> avoidSamplers)
      implements RolloutAction {}

  /**
   * Cancels an attempt that is no longer needed, has become stale or makes no progress.
   *
   * @param attemptId the id of the attempt, which the planner no longer tracks
   */
  record Cancel(String attemptId) implements RolloutAction {}
}
