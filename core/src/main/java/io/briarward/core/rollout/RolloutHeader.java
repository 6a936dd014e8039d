package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.Transaction;

/**
 * The header row of a rollout: the accepted terms, and whether the rollout was cancelled.
 *
 * <p>The spec is stored in the object store under the key {@link RolloutKey#specObject}. Immutable
 * and thread-safe.
 *
 * @param service the id of the model service
 * @param specSha256 the SHA-256 digest of the spec in hexadecimal
 * @param groups the number of groups
 * @param groupsPerShard the number of consecutive groups in a shard, which one owner runs
 * @param maxStalenessVersions the staleness bound in versions
 * @param extraAttemptShare the budget of extra attempts as a share of the samples
 * @param dueAtMillis the deadline of the rollout, in milliseconds since the epoch
 * @param cancelled whether the trainer cancelled it
 */
public record RolloutHeader(
    String service,
    String specSha256,
    int groups,
    int groupsPerShard,
    int maxStalenessVersions,
    double extraAttemptShare,
    long dueAtMillis,
    boolean cancelled) {
  private static final int SAMPLES_PER_SHARD = 256;

  /** Validates the components. */
  public RolloutHeader {
    checkNotNull(service, "service");
    checkNotNull(specSha256, "specSha256");
    checkArgument(groups >= 1, "groups is %s, expected >= 1", groups);
    checkArgument(groupsPerShard >= 1, "groupsPerShard is %s, expected >= 1", groupsPerShard);
  }

  /** Returns the header of a rollout submitted at {@code nowMillis} under the given policy. */
  public static RolloutHeader submit(RolloutSpec spec, RolloutPolicy policy, long nowMillis) {
    int largestGroup = spec.groups().stream().mapToInt(GroupSpec::samples).max().orElseThrow();
    long timeoutMillis =
        Math.min(policy.timeoutMillis(), spec.timeoutMillis().orElse(Long.MAX_VALUE));
    return new RolloutHeader(
        spec.service(),
        sha256(spec),
        spec.groups().size(),
        Math.max(1, SAMPLES_PER_SHARD / largestGroup),
        Math.min(
            policy.maxStalenessVersions(), spec.maxStalenessVersions().orElse(Integer.MAX_VALUE)),
        policy.extraAttemptShare(),
        nowMillis + timeoutMillis,
        false);
  }

  /** Returns the digest of a spec, by which a repeated submission is recognized. */
  public static String sha256(RolloutSpec spec) {
    return Hashing.sha256().hashBytes(RolloutCodec.printSpec(spec)).toString();
  }

  /** Parses the header's row. */
  public static RolloutHeader fromRow(Row row) {
    return RolloutCodec.fromTree(row.value(), RolloutHeader.class);
  }

  /** Returns the transaction that inserts the rollout and its shards, none of them leased. */
  public Transaction insert(RolloutKey key) {
    Transaction.Builder transaction =
        Transaction.builder()
            .requireAbsent(key.header())
            .put(key.header(), RolloutCodec.toTree(this));
    for (int shard = 0; shard < shards(); shard++) {
      transaction.put(key.shard(shard), RolloutCodec.toTree(ShardLease.UNLEASED));
    }
    return transaction.build();
  }

  /**
   * Returns the transaction that cancels the rollout and deletes its shards.
   *
   * @param rowVersion the version of the header's row
   */
  public Transaction cancel(RolloutKey key, long rowVersion) {
    RolloutHeader next =
        new RolloutHeader(
            service,
            specSha256,
            groups,
            groupsPerShard,
            maxStalenessVersions,
            extraAttemptShare,
            dueAtMillis,
            true);
    Transaction.Builder transaction =
        Transaction.builder()
            .requireVersion(key.header(), rowVersion)
            .put(key.header(), RolloutCodec.toTree(next));
    for (int shard = 0; shard < shards(); shard++) {
      transaction.delete(key.shard(shard));
    }
    return transaction.build();
  }

  /** Returns the number of shards. */
  public int shards() {
    return (groups + groupsPerShard - 1) / groupsPerShard;
  }

  /** Returns the groups of a shard, keyed by their index in the rollout. */
  public ImmutableMap<Integer, GroupSpec> groupsOf(RolloutSpec spec, int shard) {
    int first = shard * groupsPerShard;
    int end = Math.min(groups, first + groupsPerShard);
    ImmutableMap.Builder<Integer, GroupSpec> selected = ImmutableMap.builder();
    for (int index = first; index < end; index++) {
      selected.put(index, spec.groups().get(index));
    }
    return selected.buildOrThrow();
  }

  /** Returns the staleness bound. */
  public StalenessBound bound() {
    return new StalenessBound(maxStalenessVersions);
  }
}
