package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of versions by which a sample's oldest token may lag behind the announced version.
 *
 * @param versions the maximum lag in versions, at least 0
 */
public record StalenessBound(int versions) {
  /** Validates the component. */
  public StalenessBound {
    checkArgument(versions >= 0, "versions is %s, expected >= 0", versions);
  }

  /** Returns the oldest version that is within the bound, at least 0. */
  public long oldestFresh(long announcedVersion) {
    return Math.max(0, announcedVersion - versions);
  }

  /** Returns whether a group whose oldest token is of {@code oldestVersion} may be delivered. */
  public boolean isFresh(long oldestVersion, long announcedVersion) {
    return oldestVersion >= oldestFresh(announcedVersion);
  }

  /**
   * Returns the oldest version that stays within the bound after one more announcement. If the
   * bound is 0, no version does, and the announced version is returned.
   */
  public long oldestWorthStarting(long announcedVersion) {
    return Math.max(0, announcedVersion - Math.max(0, versions - 1));
  }
}
