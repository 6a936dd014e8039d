package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.Configuration;

/**
 * A configuration with its version number.
 *
 * @param version 0 before the first configuration was accepted
 * @param configuration the configuration
 */
public record VersionedConfiguration(long version, Configuration configuration) {
  /** Checks the fields. */
  public VersionedConfiguration {
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
    checkNotNull(configuration, "configuration");
  }

  /** Returns the state before the first configuration was accepted. */
  public static VersionedConfiguration initial() {
    return new VersionedConfiguration(0, Configuration.empty());
  }
}
