package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;

/**
 * Identifies a rollout, and the rows and objects that store it.
 *
 * @param organisation the id of the organisation that owns the rollout
 * @param rollout the id chosen by the trainer
 */
public record RolloutKey(String organisation, String rollout) {
  /** The table of rollout headers. */
  public static final String ROLLOUTS = "rollouts";

  /** The table of unfinished shards, with their leases. */
  public static final String SHARDS = "rollout-shards";

  /** The table of recorded outcomes. */
  public static final String OUTCOMES = "rollout-outcomes";

  /** The table of deliveries. */
  public static final String DELIVERIES = "rollout-deliveries";

  private static final String SEPARATOR = "/";
  private static final int SEQUENCE_DIGITS = 8;

  /** Validates the components. */
  public RolloutKey {
    checkNotNull(organisation, "organisation");
    checkArgument(
        !organisation.isEmpty() && !organisation.contains(SEPARATOR),
        "organisation is '%s', expected an id",
        organisation);
    RolloutSpec.checkId(rollout, "id");
  }

  /** Returns the row key of the rollout's header. */
  public RowKey header() {
    return RowKey.of(ROLLOUTS, organisation + SEPARATOR + rollout);
  }

  /** Returns the common prefix of the keys of the rollout's shards, outcomes and deliveries. */
  public String prefix() {
    return organisation + SEPARATOR + rollout + SEPARATOR;
  }

  /** Returns the row key of a shard's lease. */
  public RowKey shard(int index) {
    return RowKey.of(SHARDS, prefix() + toFixedWidth(index));
  }

  /** Returns the row key of the outcome with the given sequence number, counted from 1. */
  public RowKey outcome(long sequence) {
    return RowKey.of(OUTCOMES, prefix() + toFixedWidth(sequence));
  }

  /** Returns the row key of the delivery with the given sequence number, counted from 1. */
  public RowKey delivery(long sequence) {
    return RowKey.of(DELIVERIES, prefix() + toFixedWidth(sequence));
  }

  /** Returns the key of the object that holds the spec with the given digest. */
  public String specObject(String sha256) {
    return "rollouts/" + prefix() + "spec-" + sha256;
  }

  /**
   * Returns the key of an object that holds complete groups.
   *
   * @param uniqueName a name that is never reused for different content
   */
  public String groupsObject(String uniqueName) {
    return "rollouts/" + prefix() + "groups-" + uniqueName;
  }

  /** Returns the sequence number in the key of an outcome, delivery or shard. */
  static long sequence(Row row) {
    return Long.parseLong(row.key().substring(row.key().lastIndexOf(SEPARATOR) + 1));
  }

  /** Returns the key of the rollout that a shard's row belongs to. */
  public static RolloutKey ofShardRow(Row row) {
    int first = row.key().indexOf(SEPARATOR);
    int last = row.key().lastIndexOf(SEPARATOR);
    return new RolloutKey(row.key().substring(0, first), row.key().substring(first + 1, last));
  }

  /** Returns the index of the shard that a row belongs to. */
  public static int shardIndex(Row row) {
    return (int) sequence(row);
  }

  private static String toFixedWidth(long sequence) {
    checkArgument(sequence >= 0, "sequence is %s, expected >= 0", sequence);
    return String.format("%0" + SEQUENCE_DIGITS + "d", sequence);
  }
}
