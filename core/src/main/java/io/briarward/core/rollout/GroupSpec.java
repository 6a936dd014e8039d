package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A group of samples of one prompt, delivered together.
 *
 * @param id the group's id, unique within the rollout, up to 128 characters of {@code A-Za-z0-9._-}
 * @param prompt the prompt, not empty
 * @param samples the number of samples, 1 to 1,024
 * @param sampling the sampling parameters
 */
public record GroupSpec(String id, String prompt, int samples, SamplingParameters sampling) {
  private static final int MAX_SAMPLES = 1_024;

  /** Validates the components. */
  public GroupSpec {
    RolloutSpec.checkId(id, "groups.id");
    checkNotNull(prompt, "groups.prompt is missing");
    checkArgument(!prompt.isEmpty(), "groups.prompt is empty");
    checkArgument(
        samples >= 1 && samples <= MAX_SAMPLES,
        "groups.samples is %s, expected 1 to %s",
        samples,
        MAX_SAMPLES);
    checkNotNull(sampling, "groups.sampling is missing");
  }

  /** Returns the id of the sample at the zero-based {@code index}. */
  public String sampleId(int index) {
    return id + "/" + index;
  }
}
