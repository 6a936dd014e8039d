package io.briarward.operator;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.RolloutPolicy;

/** A builder of rollout policies. Not thread-safe. */
public final class RolloutPolicyBuilder {
  private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;

  private final String id;
  private String service = "";
  private int maxStalenessVersions = 1;
  private long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;
  private double extraAttemptShare;

  RolloutPolicyBuilder(String id) {
    this.id = id;
  }

  /** Sets the model service that the policy applies to. */
  @CanIgnoreReturnValue
  public RolloutPolicyBuilder service(String serviceId) {
    this.service = serviceId;
    return this;
  }

  /** Sets the staleness bound of delivered samples, in weight versions; 1 by default. */
  @CanIgnoreReturnValue
  public RolloutPolicyBuilder maxStalenessVersions(int versions) {
    this.maxStalenessVersions = versions;
    return this;
  }

  /** Sets the time-out of a rollout that specifies none; 60,000 ms by default. */
  @CanIgnoreReturnValue
  public RolloutPolicyBuilder timeoutMillis(long timeout) {
    this.timeoutMillis = timeout;
    return this;
  }

  /** Sets the maximum share of samples that may be hedged; 0 by default. */
  @CanIgnoreReturnValue
  public RolloutPolicyBuilder extraAttemptShare(double share) {
    this.extraAttemptShare = share;
    return this;
  }

  RolloutPolicy build() {
    return new RolloutPolicy(id, service, maxStalenessVersions, timeoutMillis, extraAttemptShare);
  }
}
