package io.briarward.core.rollout;

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
    RolloutSpec.checkId(service, "service");
    checkArgument(version >= 0, "version is %s, expected >= 0", version);
  }
}
