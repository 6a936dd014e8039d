package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The difference between one version of the configuration and the next.
 *
 * @param version the resulting version, > 0; the delta applies to {@code version - 1}
 * @param splices the changes to lists of the configuration, at most one per list
 * @param checksum the checksum of the resulting document
 */
public record ConfigurationDelta(long version, ImmutableList<Splice> splices, String checksum) {
  /** Validates the components. */
  public ConfigurationDelta {
    checkArgument(version > 0, "version is %s, expected > 0", version);
    checkNotNull(splices, "splices");
    checkNotNull(checksum, "checksum");
  }
}
