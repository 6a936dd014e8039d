package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * The properties of a request that routing depends on.
 *
 * <p>Immutable and thread-safe. Example: {@code RouteRequest.builder("recipe-llm",
 * "vatuwaqa").prefixHash(hash).promptTokens(800).build()}.
 *
 * @param service the id of the service
 * @param partner the id of the partner that the request belongs to
 * @param reclaimableShare the largest share of the partner's work that may run on reclaimable
 *     upstreams, from 0 to 1
 * @param group the id of the sample group, whose requests share a prompt
 * @param prefixHash the hash of the prompt's prefix, as used in cache events
 * @param promptTokens the length of the prompt in tokens, 0 if unknown
 * @param work the expected work relative to a typical request, above 0
 * @param minWeightVersion the oldest acceptable weight version, 0 for any
 * @param dueAtMillis the deadline of the response, on the clock of the router's caller
 * @param excluded the ids of upstreams that must not be chosen, such as those already tried
 */
public record RouteRequest(
    String service,
    String partner,
    double reclaimableShare,
    Optional<String> group,
    Optional<Long> prefixHash,
    int promptTokens,
    double work,
    long minWeightVersion,
    long dueAtMillis,
    ImmutableSet<String> excluded) {

  /** Checks the fields. */
  public RouteRequest {
    checkNotNull(service, "service");
    checkNotNull(partner, "partner");
    checkNotNull(group, "group");
    checkNotNull(prefixHash, "prefixHash");
    checkNotNull(excluded, "excluded");
    checkArgument(
        reclaimableShare >= 0 && reclaimableShare <= 1,
        "reclaimableShare is %s, expected 0 to 1",
        reclaimableShare);
    checkArgument(promptTokens >= 0, "promptTokens is %s, expected >= 0", promptTokens);
    checkArgument(work > 0, "work is %s, expected > 0", work);
    checkArgument(minWeightVersion >= 0, "minWeightVersion is %s, expected >= 0", minWeightVersion);
  }

  /** Returns a builder for a request of the partner to the service. */
  public static Builder builder(String service, String partner) {
    return new Builder(service, partner);
  }

  /** Returns a builder initialised with the values of this request. */
  public Builder toBuilder() {
    Builder builder =
        new Builder(service, partner)
            .reclaimableShare(reclaimableShare)
            .promptTokens(promptTokens)
            .work(work)
            .minWeightVersion(minWeightVersion)
            .dueAtMillis(dueAtMillis)
            .excluded(excluded);
    group.ifPresent(builder::group);
    prefixHash.ifPresent(builder::prefixHash);
    return builder;
  }

  /**
   * Builds requests.
   *
   * <p>By default, a request has typical size, an unknown prompt and no deadline, and any upstream
   * may serve it.
   */
  public static final class Builder {
    private final String service;
    private final String partner;
    private double reclaimableShare = 1;
    private Optional<String> group = Optional.empty();
    private Optional<Long> prefixHash = Optional.empty();
    private int promptTokens = 0;
    private double work = 1;
    private long minWeightVersion = 0;
    private long dueAtMillis = Long.MAX_VALUE;
    private ImmutableSet<String> excluded = ImmutableSet.of();

    private Builder(String service, String partner) {
      this.service = service;
      this.partner = partner;
    }

    /** Sets the largest share of the partner's work that may run on reclaimable upstreams. */
    public Builder reclaimableShare(double reclaimableShare) {
      this.reclaimableShare = reclaimableShare;
      return this;
    }

    /** Sets the id of the sample group. */
    public Builder group(String group) {
      this.group = Optional.of(group);
      return this;
    }

    /** Sets the hash of the prompt's prefix. */
    public Builder prefixHash(long prefixHash) {
      this.prefixHash = Optional.of(prefixHash);
      return this;
    }

    /** Sets the length of the prompt in tokens. */
    public Builder promptTokens(int promptTokens) {
      this.promptTokens = promptTokens;
      return this;
    }

    /** Sets the expected work relative to a typical request. */
    public Builder work(double work) {
      this.work = work;
      return this;
    }

    /** Sets the oldest acceptable weight version. */
    public Builder minWeightVersion(long minWeightVersion) {
      this.minWeightVersion = minWeightVersion;
      return this;
    }

    /** Sets the deadline of the response. */
    public Builder dueAtMillis(long dueAtMillis) {
      this.dueAtMillis = dueAtMillis;
      return this;
    }

    /** Sets the ids of upstreams that must not be chosen. */
    public Builder excluded(ImmutableSet<String> excluded) {
      this.excluded = excluded;
      return this;
    }

    /**
     * Returns the request.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public RouteRequest build() {
      return new RouteRequest(
          service,
          partner,
          reclaimableShare,
          group,
          prefixHash,
          promptTokens,
          work,
          minWeightVersion,
          dueAtMillis,
          excluded);
    }
  }
}
