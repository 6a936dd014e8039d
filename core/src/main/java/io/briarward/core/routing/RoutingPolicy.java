package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The constants that routing decisions weigh.
 *
 * @param randomCandidates how many upstreams are sampled at random for a decision
 * @param loadFactor how far an upstream's load may exceed the mean before prefix locality is
 *     disregarded, at least 1
 * @param prefillTokensPerSecond how fast an engine processes a prompt that it has not cached
 * @param batchSlowdown how much longer a request takes in a full batch than alone, as a share
 * @param onDemandPenaltyMillis how much longer a request may wait for a reclaimable upstream than
 *     for an on-demand one
 * @param stalePenaltyMillis how much a rollout may wait for weights that are one version newer
 * @param reportAgeScaleMillis the age at which a load report counts half
 * @param prefixRetentionMillis the time after which a prefix is assumed to be evicted
 * @param spillShare the largest share of work sent to other data centres while the local one has
 *     upstreams
 * @param spillThresholdMillis the expected wait above which work may leave the data centre
 * @param spillUtilisation the utilisation of another data centre above which it gets no work
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

  /** The policy of a node. */
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
