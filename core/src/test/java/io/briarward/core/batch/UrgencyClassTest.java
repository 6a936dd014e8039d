package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class UrgencyClassTest {
  private static final int OWNERS = 3;
  private static final int GROUPS = 10;
  private static final int NEEDED_GROUPS = 9;
  private static final int ITEMS_PER_GROUP = 4;
  private static final int SLOTS = 16;
  private static final long DUE_MILLIS = 7_500;

  @Test
  void lessSlackIsMoreUrgent() {
    assertThat(UrgencyClass.of(GroupStanding.ON_TIME, 7_500, 7_000)).isEqualTo(0);
    assertThat(UrgencyClass.of(GroupStanding.ON_TIME, 7_500, 9_000)).isEqualTo(0);
    assertThat(UrgencyClass.of(GroupStanding.ON_TIME, 7_500, 4_000)).isEqualTo(3);
    assertThat(UrgencyClass.of(GroupStanding.ON_TIME, 7_500, 100)).isEqualTo(UrgencyClass.NEUTRAL);
  }

  /** Guards against a clock set ahead or an absurd estimate giving a class out of range. */
  @Test
  void anyTimesGiveClassInRange() {
    for (long left : new long[] {Long.MIN_VALUE / 4, -1, 0, 7_500, Long.MAX_VALUE / 4}) {
      for (long needed : new long[] {0, 1, Long.MAX_VALUE / 4}) {
        for (GroupStanding standing : GroupStanding.values()) {
          assertThat(UrgencyClass.of(standing, left, needed)).isAtLeast(0);
          assertThat(UrgencyClass.of(standing, left, needed)).isAtMost(9);
        }
      }
    }
  }

  @Test
  void lateAndSurplusItemsFollowRequestsWithoutClass() {
    int late = UrgencyClass.of(GroupStanding.LATE, -100, 50);
    assertThat(late).isGreaterThan(UrgencyClass.NEUTRAL);
    assertThat(UrgencyClass.of(GroupStanding.SURPLUS, 7_500, 50)).isGreaterThan(late);
  }

  /**
   * Load: three owners, which send no messages to each other, submit batches to samplers with a
   * third of the slots that they could use. Compares the groups that are complete in time with
   * those in the order of arrival. Guards against classes that disagree between owners.
   */
  @Test
  void ownersWithoutMessagesGetMoreGroupsInTime() {
    int byClass = 0;
    int byArrival = 0;
    for (int seed = 0; seed < 20; seed++) {
      byClass += groupsInTime(seed, true);
      byArrival += groupsInTime(seed, false);
    }
    assertThat(byClass).isGreaterThan(byArrival);
  }

  private record Item(int owner, String group, long expectedMillis, long actualMillis) {}

  /** Returns the number of needed groups that are complete when their batch is due. */
  private static int groupsInTime(int seed, boolean useClasses) {
    Random random = new Random(seed);
    List<Item> waiting = new ArrayList<>();
    for (int owner = 0; owner < OWNERS; owner++) {
      for (int i = 0; i < GROUPS * ITEMS_PER_GROUP; i++) {
        long actual = Math.min(7_000, Math.round(Math.exp(6.6 + 1.1 * random.nextGaussian())));
        long expected = Math.round(actual * Math.exp(0.3 * random.nextGaussian()));
        waiting.add(new Item(owner, owner + "/" + i / ITEMS_PER_GROUP, expected, actual));
      }
    }
    // Each owner sends the longest items first, and all owners send at the same time.
    waiting.sort(Comparator.comparingLong(Item::expectedMillis).reversed());
    long[] freeAtMillis = new long[SLOTS];
    Map<String, Long> completeAtMillis = new HashMap<>();
    while (!waiting.isEmpty()) {
      int slot = 0;
      for (int each = 1; each < SLOTS; each++) {
        slot = freeAtMillis[each] < freeAtMillis[slot] ? each : slot;
      }
      long leftMillis = DUE_MILLIS - freeAtMillis[slot];
      Map<String, GroupStanding> standings = new HashMap<>();
      for (int owner = 0; owner < OWNERS; owner++) {
        standings.putAll(standings(owner, waiting, leftMillis));
      }
      Item next =
          useClasses
              ? waiting.stream()
                  .min(
                      Comparator.comparingInt(
                          item ->
                              UrgencyClass.of(
                                  standings.get(item.group()), leftMillis, item.expectedMillis())))
                  .orElseThrow()
              : waiting.get(0);
      waiting.remove(next);
      freeAtMillis[slot] += next.actualMillis();
      completeAtMillis.merge(next.group(), freeAtMillis[slot], Math::max);
    }
    int inTime = 0;
    for (int owner = 0; owner < OWNERS; owner++) {
      String prefix = owner + "/";
      inTime +=
          (int)
              Math.min(
                  NEEDED_GROUPS,
                  completeAtMillis.entrySet().stream()
                      .filter(group -> group.getKey().startsWith(prefix))
                      .filter(group -> group.getValue() <= DUE_MILLIS)
                      .count());
    }
    return inTime;
  }

  private static ImmutableMap<String, GroupStanding> standings(
      int owner, List<Item> waiting, long leftMillis) {
    Map<String, Double> needed = new HashMap<>();
    waiting.stream()
        .filter(item -> item.owner() == owner)
        .forEach(item -> needed.merge(item.group(), (double) item.expectedMillis(), Math::max));
    int neededGroups = Math.max(0, NEEDED_GROUPS - (GROUPS - needed.size()));
    RunPace pace = RunPace.create();
    pace.onCompleted(1, 1, 1); // An estimate of one token stands for 1 ms.
    return GroupRanking.rank(ImmutableMap.copyOf(needed), neededGroups, leftMillis, pace);
  }
}
