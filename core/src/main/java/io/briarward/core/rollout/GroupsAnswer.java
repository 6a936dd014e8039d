package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The answer to a trainer that asks for groups after a cursor.
 *
 * @param rollout the rollout's id
 * @param cursor what to ask with next; the same as before when there is nothing new
 * @param done whether every group of the rollout was delivered up to {@code cursor}
 * @param groups the groups in the order fixed by the first answer
 */
public record GroupsAnswer(
    String rollout, long cursor, boolean done, ImmutableList<Delivered> groups) {
  /** Checks the fields. */
  public GroupsAnswer {
    checkNotNull(rollout, "rollout");
    checkArgument(cursor >= 0, "cursor is %s, expected >= 0", cursor);
    checkNotNull(groups, "groups");
  }

  /**
   * One group: its samples, or the mark that it aged beyond the bound before this answer.
   *
   * @param id the group's id
   * @param expired present and true when the samples are withheld
   * @param samples present when the group is fresh
   */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  public record Delivered(
      String id, Optional<Boolean> expired, Optional<ImmutableList<Sample>> samples) {
    /** Returns a group with its samples. */
    public static Delivered fresh(GroupResult group) {
      return new Delivered(group.id(), Optional.empty(), Optional.of(group.samples()));
    }

    /** Returns a group whose samples are withheld. */
    public static Delivered expired(String id) {
      return new Delivered(id, Optional.of(true), Optional.empty());
    }
  }
}
