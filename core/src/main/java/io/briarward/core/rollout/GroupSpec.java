package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A group of samples of one prompt, delivered whole.
 *
 * @param id unique within the rollout, up to 128 characters of {@code A-Za-z0-9._-}
 * @param prompt the prompt, not empty
 * @param samples the number of samples, 1 to 1,024
 * @param sampling how the samples are drawn
 */
public record GroupSpec(String id, String prompt, int samples, SamplingParameters sampling) {
  private static final int MAX_SAMPLES = 1_024;

  /** Checks the fields. */
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

  /** Returns the id of the sample at {@code index}, counted from 0. */
  public String sampleId(int index) {
    return id + "/" + index;
  }
}
