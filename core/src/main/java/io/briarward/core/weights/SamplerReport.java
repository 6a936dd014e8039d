package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * The weights and load that a sampler reports.
 *
 * @param sampler the upstream's id
 * @param weightVersion the version that it serves
 * @param loadingVersion the version that it is loading, if any
 * @param running the number of requests that it is running
 * @param measuredAtMillis the time of the measurement, on the clock that is passed to the planner
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
