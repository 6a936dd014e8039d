package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.Map;

/**
 * Decides which unfinished groups of a batch its caller still needs and which can be on time.
 *
 * <p>Answers the load of batches that compete for too few slots: lengths differ a hundredfold and
 * the caller waits for nine groups in ten, so the groups with the longest items take most of the
 * time of a sampler and may be of no use. The groups that are expected to be complete first are the
 * ones that are needed.
 */
public final class GroupRanking {
  /**
   * The part of the expected time that must be left for a group to count as one that can be on
   * time. Estimates are accurate only in the middle, so half of the items need less.
   */
  private static final double MIN_TIME_SHARE = 0.5;

  private GroupRanking() {}

  /**
   * Returns the standing of each group.
   *
   * @param remainingTokensByGroup the tokens of the longest rest of an item in each unfinished
   *     group; groups with equal rests are ranked in the order of the map
   * @param neededGroups the number of groups that the caller still waits for
   * @param leftMillis the time until the batch is due, negative if that time has passed
   * @param pace the time that tokens need; groups are ranked before any run has told it
   */
  public static ImmutableMap<String, GroupStanding> rank(
      ImmutableMap<String, Double> remainingTokensByGroup,
      int neededGroups,
      long leftMillis,
      RunPace pace) {
    checkArgument(neededGroups >= 0, "neededGroups is %s, expected >= 0", neededGroups);
    ImmutableList<Map.Entry<String, Double>> soonestFirst =
        remainingTokensByGroup.entrySet().stream()
            .sorted(Comparator.comparingDouble(Map.Entry::getValue))
            .collect(toImmutableList());
    ImmutableMap.Builder<String, GroupStanding> standings = ImmutableMap.builder();
    for (int rank = 0; rank < soonestFirst.size(); rank++) {
      Map.Entry<String, Double> group = soonestFirst.get(rank);
      standings.put(
          group.getKey(),
          rank >= neededGroups
              ? GroupStanding.SURPLUS
              : standing(pace.neededMillis(group.getValue()), leftMillis));
    }
    return standings.buildOrThrow();
  }

  private static GroupStanding standing(long neededMillis, long leftMillis) {
    return leftMillis > 0 && neededMillis * MIN_TIME_SHARE <= leftMillis
        ? GroupStanding.ON_TIME
        : GroupStanding.LATE;
  }
}
