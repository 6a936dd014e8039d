package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * The groups that a trainer is given under one cursor, as the table holds them.
 *
 * @param groups the groups in order
 * @param node the id of the node that fixed it and records its usage
 * @param deliveredAtMillis when the delivery was fixed, in milliseconds since the epoch
 */
public record Delivery(ImmutableList<Place> groups, String node, long deliveredAtMillis) {
  /** Checks the fields. */
  public Delivery {
    checkArgument(!groups.isEmpty(), "groups is empty");
  }

  /** Returns the number of generated tokens, which are billed once. */
  public long tokens() {
    return groups.stream().mapToLong(Place::tokens).sum();
  }

  /**
   * Where a delivered group lies and what it cost.
   *
   * @param index the group's index in the rollout
   * @param id the group's id
   * @param oldestVersion the oldest weight version that produced any of its tokens
   * @param tokens the number of its generated tokens
   * @param object the key of the object that holds it
   * @param position its place in the object, counted from 0
   */
  public record Place(
      int index, String id, long oldestVersion, long tokens, String object, int position) {}
}
