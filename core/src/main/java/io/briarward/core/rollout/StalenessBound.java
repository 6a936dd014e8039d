package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many versions a sample's oldest token may lag behind the announced version.
 *
 * @param versions the largest age allowed, at least 0
 */
public record StalenessBound(int versions) {
  /** Checks the field. */
  public StalenessBound {
    checkArgument(versions >= 0, "versions is %s, expected >= 0", versions);
  }

  /** Returns the oldest version that is within the bound, at least 0. */
  public long oldestFresh(long announcedVersion) {
    return Math.max(0, announcedVersion - versions);
  }

  /** Returns whether work of {@code oldestVersion} may be delivered now. */
  public boolean isFresh(long oldestVersion, long announcedVersion) {
    return oldestVersion >= oldestFresh(announcedVersion);
  }

  /**
   * Returns the oldest version worth starting on: one that stays within the bound when one more
   * version is announced, where the bound leaves room for that.
   */
  public long oldestWorthStarting(long announcedVersion) {
    return Math.max(0, announcedVersion - Math.max(0, versions - 1));
  }
}
