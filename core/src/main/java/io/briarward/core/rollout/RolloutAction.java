package io.briarward.core.rollout;

import com.google.common.collect.ImmutableSet;

/** What a {@link RolloutPlanner} wants done on the samplers. */
public sealed interface RolloutAction {
  /** Returns the attempt that the action is about. */
  String attemptId();

  /**
   * Starts an attempt at a sample.
   *
   * @param attemptId names the attempt and its request to the engine; unique
   * @param sampleId {@code GROUP/INDEX}
   * @param prompt the group's prompt
   * @param sampling parameters with the sample's own seed; {@code maxTokens} counts all tokens of
   *     the sample, also the resumed ones
   * @param resumeText the text to go on after; empty to start afresh
   * @param resumeTokens the number of tokens of {@code resumeText}
   * @param minVersion the oldest weight version that the sampler may run
   * @param preferredVersion the oldest weight version that survives the next announcement
   * @param avoidSamplers samplers that served the sample badly
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
   * Cancels an attempt whose result is not used.
   *
   * @param attemptId the attempt, already forgotten by the planner
   */
  record Cancel(String attemptId) implements RolloutAction {}
}
