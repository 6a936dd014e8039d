package io.briarward.core.configuration;

/**
 * How the rollouts of a service are run.
 *
 * @param id unique among rollout policies
 * @param service the id of a model service
 * @param maxStalenessVersions how many weight versions a delivered sample may lag behind, at least
 *     0
 * @param timeoutMillis the due time of a rollout that states none
 * @param extraAttemptShare the largest share of samples that may be started a second time because
 *     the first attempt is slow, from 0 to 1
 */
public record RolloutPolicy(
    String id,
    String service,
    int maxStalenessVersions,
    long timeoutMillis,
    double extraAttemptShare) {
  /** Checks the fields. */
  public RolloutPolicy {
    Checks.id(id, "id");
    Checks.id(service, "service");
    Checks.range(maxStalenessVersions, 0, 1_000, "maxStalenessVersions");
    Checks.range((double) timeoutMillis, 1, 86_400_000, "timeoutMillis");
    Checks.range(extraAttemptShare, 0, 1, "extraAttemptShare");
  }
}
