package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A trainer's announcement that a weight version of a service is published.
 *
 * @param service the id of the model service
 * @param version the version, at least 0; it never goes back
 */
public record WeightAnnouncement(String service, long version) {
  /** Checks the fields. */
  public WeightAnnouncement {
    checkArgument(service != null && !service.isEmpty(), "service is missing");
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
  }
}
