package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Complete groups that a shard owner recorded in one row; their samples are stored in one object.
 *
 * @param object the key of the object, never reused for different content
 * @param groups the groups in the order in which the object contains them
 */
public record Outcome(String object, ImmutableList<Group> groups) {
  /** Validates the components. */
  public Outcome {
    checkNotNull(object, "object");
    checkArgument(!groups.isEmpty(), "groups is empty");
  }

  /**
   * A complete group.
   *
   * @param index the group's index in the rollout
   * @param id the group's id
   * @param oldestVersion the oldest weight version that generated any of the group's tokens
   * @param tokens the number of generated tokens in the group
   */
  public record Group(int index, String id, long oldestVersion, long tokens) {}

  /** Returns the outcome for groups that are stored under {@code object}. */
  public static Outcome of(String object, ImmutableList<RolloutPlanner.CompletedGroup> completed) {
    return new Outcome(
        object,
        completed.stream().map(Outcome::toOutcomeGroup).collect(ImmutableList.toImmutableList()));
  }

  private static Group toOutcomeGroup(RolloutPlanner.CompletedGroup group) {
    GroupResult result = group.result();
    return new Group(group.index(), result.id(), result.oldestVersion(), result.tokens());
  }
}
