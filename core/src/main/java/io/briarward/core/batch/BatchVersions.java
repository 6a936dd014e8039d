package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Which weights a batch takes.
 *
 * @param minVersion the oldest version that may generate its text
 * @param announcedVersion the newest version that was announced when the batch was accepted
 */
public record BatchVersions(String model, long minVersion, long announcedVersion) {
  /** Checks the fields. */
  public BatchVersions {
    checkArgument(!model.isEmpty(), "model is empty");
  }

  /** Returns by how many versions weights may have been old when the batch was accepted. */
  public long allowedLag() {
    return Math.max(0, announcedVersion - minVersion);
  }
}
