package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/**
 * The lease of a shard: which node runs its groups.
 *
 * <p>The lease saves work and guards nothing: two owners at once produce the same group twice, and
 * the order of deliveries drops one. So expiry is compared with each node's own clock.
 *
 * @param owner the id of the node, empty when the shard is open
 * @param expiresAtMillis when any node may take over, in milliseconds since the epoch
 */
public record ShardLease(String owner, long expiresAtMillis) {
  /** How long a lease lasts without renewal. */
  public static final long DURATION_MILLIS = 30_000;

  /** How often the owner renews it. */
  public static final long RENEWAL_MILLIS = 10_000;

  static final ShardLease OPEN = new ShardLease("", 0);

  /** Checks the fields. */
  public ShardLease {
    checkNotNull(owner, "owner");
    checkArgument(expiresAtMillis >= 0, "expiresAtMillis is %s, expected >= 0", expiresAtMillis);
  }

  /** Returns what the row says. */
  public static ShardLease fromRow(Row row) {
    return RolloutCodec.fromTree(row.value(), ShardLease.class);
  }

  /**
   * Returns the transaction that takes a shard, or empty while another node holds it.
   *
   * <p>A shard that {@code node} holds already may be taken again, since the answer to the first
   * take may have been lost.
   */
  public static Optional<Transaction> take(Row row, String node, long nowMillis) {
    ShardLease lease = fromRow(row);
    boolean leased = lease.expiresAtMillis() > nowMillis && !lease.owner().equals(node);
    return leased ? Optional.empty() : Optional.of(write(row, node, nowMillis));
  }

  /** Returns the transaction that renews the lease that {@code row} shows. */
  public static Transaction renew(Row row, String node, long nowMillis) {
    checkArgument(fromRow(row).owner().equals(node), "lease is not held by %s", node);
    return write(row, node, nowMillis);
  }

  /** Returns the transaction that removes a shard whose groups were all delivered. */
  public static Transaction close(Row row) {
    RowKey key = RowKey.of(RolloutKey.SHARDS, row.key());
    return Transaction.builder().requireVersion(key, row.version()).delete(key).build();
  }

  /** Returns the transaction that gives the lease up, so that any node may take over at once. */
  public static Transaction release(Row row) {
    RowKey key = RowKey.of(RolloutKey.SHARDS, row.key());
    return Transaction.builder()
        .requireVersion(key, row.version())
        .put(key, RolloutCodec.toTree(OPEN))
        .build();
  }

  private static Transaction write(Row row, String node, long nowMillis) {
    RowKey key = RowKey.of(RolloutKey.SHARDS, row.key());
    ShardLease next = new ShardLease(node, nowMillis + DURATION_MILLIS);
    return Transaction.builder()
        .requireVersion(key, row.version())
        .put(key, RolloutCodec.toTree(next))
        .build();
  }
}
