package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;

/**
 * Names a rollout and the rows and objects it is kept in.
 *
 * @param organisation the id of the organisation it runs for
 * @param rollout the id chosen by the trainer
 */
public record RolloutKey(String organisation, String rollout) {
  /** The table of rollouts. */
  public static final String ROLLOUTS = "rollouts";

  /** The table of shards that still have work, with their leases. */
  public static final String SHARDS = "rollout-shards";

  /** The table of recorded groups. */
  public static final String OUTCOMES = "rollout-outcomes";

  /** The table of deliveries. */
  public static final String DELIVERIES = "rollout-deliveries";

  private static final String SEPARATOR = "/";
  private static final int SEQUENCE_DIGITS = 8;

  /** Checks the fields. */
  public RolloutKey {
    checkNotNull(organisation, "organisation");
    checkArgument(
        !organisation.isEmpty() && !organisation.contains(SEPARATOR),
        "organisation is '%s', expected an id",
        organisation);
    RolloutSpec.checkId(rollout, "id");
  }

  /** Returns the address of the rollout's header. */
  public RowKey header() {
    return RowKey.of(ROLLOUTS, organisation + SEPARATOR + rollout);
  }

  /** Returns what the keys of the rollout's shards, outcomes and deliveries start with. */
  public String prefix() {
    return organisation + SEPARATOR + rollout + SEPARATOR;
  }

  /** Returns the address of a shard's lease. */
  public RowKey shard(int index) {
    return RowKey.of(SHARDS, prefix() + digits(index));
  }

  /** Returns the address of an outcome, counted from 1. */
  public RowKey outcome(long sequence) {
    return RowKey.of(OUTCOMES, prefix() + digits(sequence));
  }

  /** Returns the address of a delivery, counted from 1. */
  public RowKey delivery(long sequence) {
    return RowKey.of(DELIVERIES, prefix() + digits(sequence));
  }

  /** Returns the key of the object that holds the spec with the given digest. */
  public String specObject(String sha256) {
    return "rollouts/" + prefix() + "spec-" + sha256;
  }

  /**
   * Returns the key of an object that holds complete groups.
   *
   * @param uniqueName never used for another content
   */
  public String groupsObject(String uniqueName) {
    return "rollouts/" + prefix() + "groups-" + uniqueName;
  }

  /** Returns the sequence number in the key of an outcome, delivery or shard. */
  static long sequence(Row row) {
    return Long.parseLong(row.key().substring(row.key().lastIndexOf(SEPARATOR) + 1));
  }

  /** Returns the rollout that a shard's row belongs to. */
  public static RolloutKey ofShardRow(Row row) {
    int first = row.key().indexOf(SEPARATOR);
    int last = row.key().lastIndexOf(SEPARATOR);
    return new RolloutKey(row.key().substring(0, first), row.key().substring(first + 1, last));
  }

  /** Returns the shard's index in the key of its row. */
  public static int shardIndex(Row row) {
    return (int) sequence(row);
  }

  private static String digits(long sequence) {
    checkArgument(sequence >= 0, "sequence is %s, expected >= 0", sequence);
    return String.format("%0" + SEQUENCE_DIGITS + "d", sequence);
  }
}
