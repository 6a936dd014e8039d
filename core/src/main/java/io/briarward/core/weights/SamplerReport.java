package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * What a sampler says of its weights.
 *
 * @param sampler the upstream's id
 * @param weightVersion the version it serves
 * @param loadingVersion the version it is loading, if any
 * @param running the number of requests it runs
 * @param measuredAtMillis when the sampler measured it, by the clock that is passed to the planner
 */
public record SamplerReport(
    String sampler,
    long weightVersion,
    OptionalLong loadingVersion,
    int running,
    long measuredAtMillis) {
  /** Checks the fields. */
  public SamplerReport {
    checkNotNull(sampler, "sampler");
    checkNotNull(loadingVersion, "loadingVersion");
    checkArgument(running >= 0, "running is %s, expected >= 0", running);
  }
}
