package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The parameters of routing decisions.
 *
 * @param randomCandidates the number of upstreams sampled at random for a decision, at least 2
 * @param loadFactor the multiple of the mean load above which an upstream is not chosen for prefix
 *     locality, at least 1
 * @param prefillTokensPerSecond the rate at which an engine processes a prompt that is not cached
 * @param batchSlowdown the additional duration of a request in a full batch, relative to its
 *     duration alone
 * @param onDemandPenaltyMillis the additional expected wait for which a reclaimable upstream is
 *     still preferred to an on-demand one
 * @param stalePenaltyMillis the additional wait accepted for weights that are one version newer
 * @param reportAgeScaleMillis the age at which a load report has half its weight
 * @param prefixRetentionMillis the time after which a prefix is assumed to be evicted
 * @param spillShare the largest share of work sent to other data centres while the local one has
 *     eligible upstreams, from 0 to 1
 * @param spillThresholdMillis the expected local wait above which work may go to another data
 *     centre
 * @param spillUtilisation the utilisation of another data centre at or above which it receives no
 *     work
 */
public record RoutingPolicy(
    int randomCandidates,
    double loadFactor,
    double prefillTokensPerSecond,
    double batchSlowdown,
    double onDemandPenaltyMillis,
    double stalePenaltyMillis,
    double reportAgeScaleMillis,
    long prefixRetentionMillis,
    double spillShare,
    double spillThresholdMillis,
    double spillUtilisation) {

  /** The policy used by nodes. */
  public static final RoutingPolicy DEFAULT =
      new RoutingPolicy(3, 1.5, 8_000, 0.5, 50, 100, 1_000, 300_000, 0.25, 1_000, 0.8);

  /** Checks the fields. */
  public RoutingPolicy {
    checkArgument(randomCandidates >= 2, "randomCandidates is %s, expected >= 2", randomCandidates);
    checkArgument(loadFactor >= 1, "loadFactor is %s, expected >= 1", loadFactor);
    checkArgument(
        prefillTokensPerSecond > 0,
        "prefillTokensPerSecond is %s, expected > 0",
        prefillTokensPerSecond);
    checkArgument(
        reportAgeScaleMillis > 0, "reportAgeScaleMillis is %s, expected > 0", reportAgeScaleMillis);
    checkArgument(
        prefixRetentionMillis > 0,
        "prefixRetentionMillis is %s, expected > 0",
        prefixRetentionMillis);
    checkArgument(
        spillShare >= 0 && spillShare <= 1, "spillShare is %s, expected 0 to 1", spillShare);
  }
}
