package io.briarward.core.configuration;

/**
 * The rules for running the rollouts of a service.
 *
 * @param id unique among rollout policies
 * @param service the id of a model service
 * @param maxStalenessVersions the staleness bound: how many weight versions a delivered sample may
 *     lag behind, from 0 to 1,000
 * @param timeoutMillis the maximum time-out of a rollout, and the default if the rollout specifies
 *     none, from 1 to 86,400,000 (one day)
 * @param extraAttemptShare the maximum share of samples that may be hedged, that is started a
 *     second time because the first attempt is slow, from 0 to 1
 */
public record RolloutPolicy(
    String id,
    String service,
    int maxStalenessVersions,
    long timeoutMillis,
    double extraAttemptShare) {
  /** Validates the components. */
  public RolloutPolicy {
    Checks.id(id, "id");
    Checks.id(service, "service");
    Checks.range(maxStalenessVersions, 0, 1_000, "maxStalenessVersions");
    Checks.range((double) timeoutMillis, 1, 86_400_000, "timeoutMillis");
    Checks.range(extraAttemptShare, 0, 1, "extraAttemptShare");
  }
}
