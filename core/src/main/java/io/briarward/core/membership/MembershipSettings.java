package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Parameters of the failure detector.
 *
 * @param probeIntervalMillis the time between two probes by a node, > 0
 * @param answerTimeoutMillis how long a node waits for a direct answer before it sends indirect
 *     probes, > 0; multiplied by the factor of {@link LocalHealth}
 * @param suspicionTimeoutMillis how long a suspect may refute its suspicion before it is declared
 *     dead, > 0; multiplied by the factor of {@link LocalHealth}
 * @param indirectProbes the number of VMs asked to probe indirectly, >= 0
 * @param maxUpdates the maximum number of queued updates in one message, > 0
 * @param sampleSize the number of probes from which a majority is estimated if there are more other
 *     VMs than this, > 0
 * @param contactWindowMillis how long a probe counts as recent, > 0
 */
public record MembershipSettings(
    long probeIntervalMillis,
    long answerTimeoutMillis,
    long suspicionTimeoutMillis,
    int indirectProbes,
    int maxUpdates,
    int sampleSize,
    long contactWindowMillis) {

  /** Validates the components. */
  public MembershipSettings {
    checkArgument(
        probeIntervalMillis > 0, "probeIntervalMillis is %s, expected > 0", probeIntervalMillis);
    checkArgument(
        answerTimeoutMillis > 0, "answerTimeoutMillis is %s, expected > 0", answerTimeoutMillis);
    checkArgument(
        suspicionTimeoutMillis > 0,
        "suspicionTimeoutMillis is %s, expected > 0",
        suspicionTimeoutMillis);
    checkArgument(indirectProbes >= 0, "indirectProbes is %s, expected >= 0", indirectProbes);
    checkArgument(maxUpdates > 0, "maxUpdates is %s, expected > 0", maxUpdates);
    checkArgument(sampleSize > 0, "sampleSize is %s, expected > 0", sampleSize);
    checkArgument(
        contactWindowMillis > 0, "contactWindowMillis is %s, expected > 0", contactWindowMillis);
  }

  /** Returns the production settings. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(250, 400, 6_000, 3, 8, 20, 5_000);
  }
}
