package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The weight versions that a batch accepts.
 *
 * @param minVersion the oldest weight version that may generate the batch's results
 * @param announcedVersion the announced weight version when the batch was accepted
 */
public record BatchVersions(String model, long minVersion, long announcedVersion) {
  /** Validates the components. */
  public BatchVersions {
    checkArgument(!model.isEmpty(), "model is empty");
  }

  /**
   * Returns by how many versions the oldest accepted weights lagged behind the announced version
   * when the batch was accepted.
   */
  public long allowedLag() {
    return Math.max(0, announcedVersion - minVersion);
  }
}
