package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/**
 * The lease of a shard, which determines the node that runs the shard's groups.
 *
 * <p>The lease avoids duplicate work but is not needed for correctness: if two owners run at once,
 * both generate the same group and only one result is delivered. Each node can therefore compare
 * the expiry time with its own clock.
 *
 * @param owner the id of the lease holder, empty if the shard is not leased
 * @param expiresAtMillis when the lease expires and any node may take over, in milliseconds since
 *     the epoch
 */
public record ShardLease(String owner, long expiresAtMillis) {
  /** The time after which a lease expires if it is not renewed. */
  public static final long DURATION_MILLIS = 30_000;

  /** The interval at which the owner renews its lease. */
  public static final long RENEWAL_MILLIS = 10_000;

  static final ShardLease UNLEASED = new ShardLease("", 0);

  /** Validates the components. */
  public ShardLease {
    checkNotNull(owner, "owner");
    checkArgument(expiresAtMillis >= 0, "expiresAtMillis is %s, expected >= 0", expiresAtMillis);
  }

  /** Parses the lease's row. */
  public static ShardLease fromRow(Row row) {
    return RolloutCodec.fromTree(row.value(), ShardLease.class);
  }

  /**
   * Returns the transaction that acquires the lease, or empty if another node holds it.
   *
   * <p>The lease holder may acquire the lease again, since the response to its first attempt may
   * have been lost.
   */
  public static Optional<Transaction> take(Row row, String node, long nowMillis) {
    ShardLease lease = fromRow(row);
    boolean heldByOther = lease.expiresAtMillis() > nowMillis && !lease.owner().equals(node);
    return heldByOther ? Optional.empty() : Optional.of(extend(row, node, nowMillis));
  }

  /** Returns the transaction that renews the lease read from {@code row}. */
  public static Transaction renew(Row row, String node, long nowMillis) {
    checkArgument(fromRow(row).owner().equals(node), "lease is not held by %s", node);
    return extend(row, node, nowMillis);
  }

  /** Returns the transaction that deletes a shard whose groups were all delivered. */
  public static Transaction close(Row row) {
    RowKey key = RowKey.of(RolloutKey.SHARDS, row.key());
    return Transaction.builder().requireVersion(key, row.version()).delete(key).build();
  }

  /** Returns the transaction that releases the lease, so that any node may take over at once. */
  public static Transaction release(Row row) {
    RowKey key = RowKey.of(RolloutKey.SHARDS, row.key());
    return Transaction.builder()
        .requireVersion(key, row.version())
        .put(key, RolloutCodec.toTree(UNLEASED))
        .build();
  }

  private static Transaction extend(Row row, String node, long nowMillis) {
    RowKey key = RowKey.of(RolloutKey.SHARDS, row.key());
    ShardLease next = new ShardLease(node, nowMillis + DURATION_MILLIS);
    return Transaction.builder()
        .requireVersion(key, row.version())
        .put(key, RolloutCodec.toTree(next))
        .build();
  }
}
