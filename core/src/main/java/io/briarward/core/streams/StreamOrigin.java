package io.briarward.core.streams;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.fleet.UpstreamEntry;

/**
 * The service and the software version of the upstream that began a stream.
 *
 * <p>Only an upstream of the same origin can continue the stream. Immutable and thread-safe.
 */
public record StreamOrigin(String service, String softwareVersion) {
  /** Validates the components. */
  public StreamOrigin {
    checkNotNull(service, "service");
    checkNotNull(softwareVersion, "softwareVersion");
  }

  /** Returns the origin of streams that an upstream begins. */
  public static StreamOrigin of(UpstreamEntry upstream) {
    return new StreamOrigin(upstream.service(), upstream.softwareVersion());
  }
}
