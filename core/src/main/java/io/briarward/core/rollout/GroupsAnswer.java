package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The answer to a trainer's request for the groups after a cursor.
 *
 * @param rollout the rollout's id
 * @param cursor the cursor of the next request; unchanged if there are no new groups
 * @param done whether all groups of the rollout were delivered at or before {@code cursor}
 * @param groups the groups in delivery order, the same in every answer
 */
public record GroupsAnswer(
    String rollout, long cursor, boolean done, ImmutableList<Delivered> groups) {
  /** Validates the components. */
  public GroupsAnswer {
    checkNotNull(rollout, "rollout");
    checkArgument(cursor >= 0, "cursor is %s, expected >= 0", cursor);
    checkNotNull(groups, "groups");
  }

  /**
   * A delivered group, with its samples unless it exceeded the staleness bound before this answer.
   *
   * @param id the group's id
   * @param expired true if the samples are withheld, otherwise absent
   * @param samples the samples, present only if the group is within the staleness bound
   */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  public record Delivered(
      String id, Optional<Boolean> expired, Optional<ImmutableList<Sample>> samples) {
    /** Returns a group with its samples. */
    public static Delivered fresh(GroupResult group) {
      return new Delivered(group.id(), Optional.empty(), Optional.of(group.samples()));
    }

    /** Returns a group whose samples are withheld because they exceed the staleness bound. */
    public static Delivered expired(String id) {
      return new Delivered(id, Optional.of(true), Optional.empty());
    }
  }
}
