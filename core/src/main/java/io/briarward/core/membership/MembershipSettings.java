package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times and sizes of probing.
 *
 * @param probeIntervalMillis the time between two probes of a node
 * @param answerTimeoutMillis how long a direct answer is waited for before others are asked to
 *     probe, in good health
 * @param suspicionTimeoutMillis how long a suspect may refute, in good health
 * @param indirectProbes how many others are asked to probe
 * @param maxUpdates the largest number of statements passed on in one message
 * @param sampleSize how many probes a large group's majority is judged from
 * @param contactWindowMillis how long an answered probe counts as contact
 */
public record MembershipSettings(
    long probeIntervalMillis,
    long answerTimeoutMillis,
    long suspicionTimeoutMillis,
    int indirectProbes,
    int maxUpdates,
    int sampleSize,
    long contactWindowMillis) {

  /** Checks the fields. */
  public MembershipSettings {
    checkArgument(probeIntervalMillis > 0, "probeIntervalMillis is %s", probeIntervalMillis);
    checkArgument(answerTimeoutMillis > 0, "answerTimeoutMillis is %s", answerTimeoutMillis);
    checkArgument(
        suspicionTimeoutMillis > 0, "suspicionTimeoutMillis is %s", suspicionTimeoutMillis);
    checkArgument(indirectProbes >= 0, "indirectProbes is %s", indirectProbes);
    checkArgument(maxUpdates > 0, "maxUpdates is %s, expected > 0", maxUpdates);
    checkArgument(sampleSize > 0, "sampleSize is %s, expected > 0", sampleSize);
    checkArgument(contactWindowMillis > 0, "contactWindowMillis is %s", contactWindowMillis);
  }

  /** Returns the settings that nodes run with. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(250, 400, 6_000, 3, 8, 20, 5_000);
  }
}
