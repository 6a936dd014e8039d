package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The parameters with which a model engine generates samples.
 *
 * @param maxTokens the maximum number of tokens in a sample, 1 to 1,000,000
 * @param temperature the sampling temperature, 0 to 100
 * @param seed the seed of the group; each sample derives its own seed from it
 */
public record SamplingParameters(int maxTokens, double temperature, long seed) {
  private static final int MAX_TOKENS = 1_000_000;
  private static final double MAX_TEMPERATURE = 100;

  /** Validates the components. */
  public SamplingParameters {
    checkArgument(
        maxTokens >= 1 && maxTokens <= MAX_TOKENS,
        "sampling.maxTokens is %s, expected 1 to %s",
        maxTokens,
        MAX_TOKENS);
    checkArgument(
        temperature >= 0 && temperature <= MAX_TEMPERATURE,
        "sampling.temperature is %s, expected 0 to %s",
        temperature,
        MAX_TEMPERATURE);
  }
}
