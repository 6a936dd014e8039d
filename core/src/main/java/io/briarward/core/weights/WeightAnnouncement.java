package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A trainer's announcement that a weight version of a service has been published.
 *
 * @param service the id of the model service
 * @param version the published version, at least 0; it never decreases
 */
public record WeightAnnouncement(String service, long version) {
  /** Checks the fields. */
  public WeightAnnouncement {
    checkArgument(
        service != null && !service.isEmpty(),
        "service is null or empty, expected the id of a model service");
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
  }
}
