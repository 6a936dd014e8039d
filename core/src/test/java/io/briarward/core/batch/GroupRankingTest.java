package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Load: a batch whose groups differ in length and whose caller waits for some of them. */
class GroupRankingTest {
  private static final ImmutableMap<String, Double> GROUPS =
      ImmutableMap.of("long", 600.0, "short", 10.0, "medium", 300.0, "longest", 900.0);

  /** Guards against the longest groups, which the caller does not need, going first. */
  @Test
  void groupsThatAreCompleteSoonestAreNeeded() {
    assertThat(GroupRanking.rank(GROUPS, 3, 7_500, pace()))
        .containsExactly(
            "short", GroupStanding.ON_TIME,
            "medium", GroupStanding.ON_TIME,
            "long", GroupStanding.ON_TIME,
            "longest", GroupStanding.SURPLUS);
  }

  /** Guards against a VM that has completed no run yet starting with the longest groups. */
  @Test
  void groupsAreRankedBeforeThePaceIsKnown() {
    assertThat(GroupRanking.rank(GROUPS, 1, 7_500, RunPace.create()))
        .containsExactly(
            "short", GroupStanding.ON_TIME,
            "medium", GroupStanding.SURPLUS,
            "long", GroupStanding.SURPLUS,
            "longest", GroupStanding.SURPLUS);
  }

  /** Guards against groups that cannot be on time taking slots from those that can. */
  @Test
  void neededGroupsThatCannotBeOnTimeAreLate() {
    assertThat(GroupRanking.rank(GROUPS, 4, 2_000, pace()))
        .containsExactly(
            "short", GroupStanding.ON_TIME,
            "medium", GroupStanding.ON_TIME, // Half of its items need less than 3,000 ms.
            "long", GroupStanding.LATE,
            "longest", GroupStanding.LATE);
    assertThat(GroupRanking.rank(GROUPS, 1, 0, pace())).containsEntry("short", GroupStanding.LATE);
    assertThat(GroupRanking.rank(GROUPS, 1, -5, pace())).containsEntry("short", GroupStanding.LATE);
  }

  @Test
  void noGroupIsNeededOnceTheTargetIsReached() {
    assertThat(ImmutableSet.copyOf(GroupRanking.rank(GROUPS, 0, 7_500, pace()).values()))
        .containsExactly(GroupStanding.SURPLUS);
    assertThrows(IllegalArgumentException.class, () -> GroupRanking.rank(GROUPS, -1, 0, pace()));
  }

  private static BatchItem item(String id, String group, int expectedTokens) {
    return new BatchItem(id, group, "/x/" + id, ImmutableMap.of(), "", expectedTokens);
  }

  private static BatchRun run(int targetGroups, ImmutableSet<String> listed) {
    return BatchRun.create(
        new BatchSpec(
            "batch",
            Optional.of("m"),
            1,
            targetGroups,
            List.of(
                    item("a1", "a", 100),
                    item("a2", "a", 900),
                    item("b1", "b", 200),
                    item("b2", "b", 300),
                    item("c1", "c", 50))
                .stream()
                .collect(ImmutableList.toImmutableList())),
        new BatchTerms("host", "route", "service", 1, 7_500, 40_000, false),
        listed,
        TextMemory.of(1 << 20, bytes -> {}));
  }

  private static RunPace pace() {
    RunPace pace = RunPace.create();
    pace.onCompleted(100, 10, 1_000); // 10 ms for a token and an event for ten tokens.
    return pace;
  }

  /** Guards against groups of a batch that is taken over being counted as missing. */
  @Test
  void listedGroupsCountTowardsTheTarget() {
    assertThat(run(2, ImmutableSet.of()).standings(7_500, pace()))
        .containsExactly(
            "a", GroupStanding.SURPLUS, "b", GroupStanding.ON_TIME, "c", GroupStanding.ON_TIME);
    assertThat(run(2, ImmutableSet.of("c1", "a1")).standings(7_500, pace()))
        .containsExactly("a", GroupStanding.SURPLUS, "b", GroupStanding.ON_TIME);
    assertThat(run(0, ImmutableSet.of()).standings(7_500, pace()))
        .containsEntry("a", GroupStanding.ON_TIME);
  }

  /** Guards against slots for a group that lost an item and can never be complete. */
  @Test
  void groupWithLostItemIsReplacedByAnother() {
    BatchRun run = run(2, ImmutableSet.of());
    run.start("b2", "v1");
    run.onImpossible("b2");
    assertThat(run.standings(7_500, pace()))
        .containsExactly(
            "a", GroupStanding.ON_TIME, "b", GroupStanding.SURPLUS, "c", GroupStanding.ON_TIME);
  }

  /** Guards against a group that is nearly complete being given up for one that has not begun. */
  @Test
  void receivedEventsReduceTheNeed() {
    BatchRun run = run(2, ImmutableSet.of());
    run.start("a2", "v1");
    run.onVersion("a2", 1);
    for (int id = 1; id <= 60; id++) {
      run.onEvent("a2", new SampleEvent(id, OptionalLong.empty(), "x"));
    }
    assertThat(run.neededMillis("a2", pace())).isEqualTo(3_000);
    assertThat(run.neededMillis("b2", pace())).isEqualTo(3_000);
    assertThat(run.neededMillis("a1", pace())).isEqualTo(1_000);
  }
}
