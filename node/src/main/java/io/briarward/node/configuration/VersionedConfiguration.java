package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.configuration.Configuration;

/**
 * A configuration with its version number.
 *
 * @param version the version, >= 0; 0 before the first configuration is accepted
 * @param configuration the configuration
 */
public record VersionedConfiguration(long version, Configuration configuration) {
  /** Validates the components. */
  public VersionedConfiguration {
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
    checkNotNull(configuration, "configuration");
  }

  /** Returns the empty configuration that precedes the first accepted one. */
  public static VersionedConfiguration initial() {
    return new VersionedConfiguration(0, Configuration.empty());
  }
}
