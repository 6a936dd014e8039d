package io.briarward.core.distribution;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * What leads from one version of the configuration to the next.
 *
 * @param version the version that results, above 0; it applies to {@code version - 1}
 * @param splices the changed lists, each at most once
 * @param checksum the checksum of the resulting document
 */
public record ConfigurationDelta(long version, ImmutableList<Splice> splices, String checksum) {
  /** Checks the fields. */
  public ConfigurationDelta {
    checkArgument(version > 0, "version is %s, expected > 0", version);
    checkNotNull(splices, "splices");
    checkNotNull(checksum, "checksum");
  }
}
