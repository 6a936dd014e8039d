package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * A complete group: all of its samples are finished.
 *
 * @param id the group's id
 * @param samples all samples of the group in order, at least one
 */
public record GroupResult(String id, ImmutableList<Sample> samples) {
  /** Validates the components. */
  public GroupResult {
    checkNotNull(id, "id");
    checkArgument(!samples.isEmpty(), "samples is empty");
  }

  /** Returns the oldest weight version that generated any token of any sample. */
  public long oldestVersion() {
    return samples.stream().mapToLong(Sample::oldestVersion).min().orElseThrow();
  }

  /** Returns the number of generated tokens over all samples. */
  public long tokens() {
    return samples.stream().mapToLong(Sample::tokens).sum();
  }
}
