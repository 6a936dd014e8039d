package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Complete groups that an owner recorded in one row, with their samples in one object.
 *
 * @param object the key of the object, never used for another content
 * @param groups the groups in the order they have in the object
 */
public record Outcome(String object, ImmutableList<Group> groups) {
  /** Checks the fields. */
  public Outcome {
    checkNotNull(object, "object");
    checkArgument(!groups.isEmpty(), "groups is empty");
  }

  /**
   * A complete group.
   *
   * @param index the group's index in the rollout
   * @param id the group's id
   * @param oldestVersion the oldest weight version that produced any of its tokens
   * @param tokens the number of its generated tokens
   */
  public record Group(int index, String id, long oldestVersion, long tokens) {}

  /** Returns the outcome of groups that are stored under {@code object}. */
  public static Outcome of(String object, ImmutableList<RolloutPlanner.CompletedGroup> completed) {
    return new Outcome(
        object, completed.stream().map(Outcome::describe).collect(ImmutableList.toImmutableList()));
  }

  private static Group describe(RolloutPlanner.CompletedGroup group) {
    GroupResult result = group.result();
    return new Group(group.index(), result.id(), result.oldestVersion(), result.tokens());
  }
}
