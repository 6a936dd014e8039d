package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * The groups delivered to a trainer under one cursor, as stored in the table.
 *
 * @param groups the groups in delivery order, not empty
 * @param node the id of the node that committed the delivery and records its usage
 * @param deliveredAtMillis when the delivery was committed, in milliseconds since the epoch
 */
public record Delivery(ImmutableList<Place> groups, String node, long deliveredAtMillis) {
  /** Validates the components. */
  public Delivery {
    checkArgument(!groups.isEmpty(), "groups is empty");
  }

  /** Returns the number of generated tokens; each delivery is billed once. */
  public long tokens() {
    return groups.stream().mapToLong(Place::tokens).sum();
  }

  /**
   * The location of a delivered group in the object store, and its token count.
   *
   * @param index the group's index in the rollout
   * @param id the group's id
   * @param oldestVersion the oldest weight version that generated any of the group's tokens
   * @param tokens the number of generated tokens in the group
   * @param object the key of the object that contains the group
   * @param position the group's zero-based position in the object
   */
  public record Place(
      int index, String id, long oldestVersion, long tokens, String object, int position) {}
}
