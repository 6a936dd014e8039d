package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.ItemResult;
import io.briarward.node.batch.SamplerClient.ItemCall;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Load: two batches of one VM share 8 slots. Each has 8 groups of 2 items; two of the groups are
 * long, and the caller waits for the other six.
 */
class BatchCompetitionTest {
  private static final int GROUPS = 8;
  private static final int TARGET_GROUPS = 6;
  private static final int SHORT_TOKENS = 40;
  private static final int LONG_TOKENS = 500;
  private static final int EVENTS = 10;

  private static BatchSpec spec(String id) {
    ImmutableList.Builder<BatchItem> items = ImmutableList.builder();
    for (int i = 0; i < GROUPS * 2; i++) {
      int group = i / 2;
      items.add(
          new BatchItem(
              id + "-item" + i,
              "g" + group,
              "/b/" + i,
              ImmutableMap.of(),
              "",
              group < GROUPS - TARGET_GROUPS ? LONG_TOKENS : SHORT_TOKENS));
    }
    return new BatchSpec(id, Optional.of("m"), 1, TARGET_GROUPS, items.build());
  }

  private static BatchCluster cluster(boolean competing) {
    BatchCluster cluster = new BatchCluster();
    if (competing) {
      cluster.addSecondModel();
    }
    cluster.samplers.setEventGaps(EVENTS, call -> call.item().expectedTokens());
    return cluster;
  }

  private static int completeGroups(BatchCluster.Process process, String id) {
    Map<String, Integer> listed = new HashMap<>();
    BatchSpec spec = spec(id);
    for (ItemResult result : BatchCluster.allResults(process, id)) {
      listed.merge(spec.item(result.itemId()).orElseThrow().group(), 1, Integer::sum);
    }
    return (int) listed.values().stream().filter(items -> items == 2).count();
  }

  /** Returns when each caller has the groups that it waits for, in milliseconds. */
  private static ImmutableMap<String, Long> targetMillis(boolean competing) {
    BatchCluster cluster = cluster(competing);
    BatchCluster.Process process = cluster.start("a");
    process.submit(spec("old"));
    cluster.advance(300);
    process.submit(spec("new"));
    Map<String, Long> targetMillis = new HashMap<>();
    for (long passed = 0; targetMillis.size() < 2; passed += 100) {
      for (String id : ImmutableList.of("old", "new")) {
        if (!targetMillis.containsKey(id) && completeGroups(process, id) >= TARGET_GROUPS) {
          targetMillis.put(id, passed);
        }
      }
      cluster.advance(100);
    }
    return ImmutableMap.copyOf(targetMillis);
  }

  /** Guards against groups that no caller needs holding the slots of those that are due. */
  @Test
  void callersGetTheirGroupsSoonerThanInTheOrderOfAcceptance() {
    ImmutableMap<String, Long> competing = targetMillis(true);
    ImmutableMap<String, Long> present = targetMillis(false);
    assertThat(competing.get("new")).isLessThan(present.get("new"));
    assertThat(competing.get("old")).isAtMost(present.get("old"));
  }

  /** Guards against a surplus item that takes a slot while a due one of another batch waits. */
  @Test
  void surplusItemsStartAfterAllNeededItemsOfBothBatches() {
    BatchCluster cluster = cluster(true);
    BatchCluster.Process process = cluster.start("a");
    process.submit(spec("old"));
    process.submit(spec("new"));
    cluster.advance(12_000);
    ImmutableList<ItemCall> calls = ImmutableList.copyOf(cluster.samplers.calls());
    int firstSurplus = 0;
    while (calls.get(firstSurplus).item().expectedTokens() == SHORT_TOKENS) {
      firstSurplus++;
    }
    assertThat(firstSurplus).isEqualTo(2 * TARGET_GROUPS * 2);
    assertThat(calls).hasSize(2 * GROUPS * 2);
    assertThat(calls.get(firstSurplus).urgency()).isEqualTo(OptionalInt.of(9));
  }

  /** Guards against a class that stays what it was at the start of the batch. */
  @Test
  void classIsComputedAtEachStart() {
    BatchCluster cluster = new BatchCluster();
    cluster.addSecondModel();
    cluster.samplers.setOutcomes(call -> SamplerClient.RunOutcome.NOT_RUN);
    BatchCluster.Process process = cluster.start("a");
    process.submit(spec("old"));
    cluster.advance(9_000);
    ImmutableList<ItemCall> calls = ImmutableList.copyOf(cluster.samplers.calls());
    assertThat(calls.get(0).urgency()).isEqualTo(OptionalInt.of(5));
    assertThat(calls.get(calls.size() - 1).urgency()).isNotEqualTo(OptionalInt.of(5));
  }

  /** Guards against a change of what deployments with a single trainer send. */
  @Test
  void noClassIsSentWithoutSeveralTrainers() {
    BatchCluster cluster = cluster(false);
    cluster.start("a").submit(spec("old"));
    cluster.advance(1_000);
    assertThat(cluster.samplers.calls()).isNotEmpty();
    cluster.samplers.calls().forEach(call -> assertThat(call.urgency()).isEmpty());
  }

  /** Guards against a time of day that is set ahead making the groups of all batches late. */
  @Test
  void clockSetAheadDoesNotMakeGroupsLate() {
    BatchCluster cluster = cluster(true);
    BatchCluster.Process process = cluster.start("a");
    cluster.advance(1_000);
    cluster.stepTimeOfDay(60_000);
    process.submit(spec("old"));
    cluster.advance(200);
    cluster.stepTimeOfDay(60_000);
    cluster.advance(400);
    assertThat(cluster.samplers.calls()).isNotEmpty();
    cluster
        .samplers
        .calls()
        .forEach(call -> assertThat(call.urgency()).isNotEqualTo(OptionalInt.of(7)));
  }
}
