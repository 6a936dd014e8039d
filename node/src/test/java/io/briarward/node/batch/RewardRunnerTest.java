package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.batch.RewardCall;
import io.briarward.node.batch.BatchService.SubmitOutcome;
import io.briarward.node.batch.RewardClient.Outcome;
import io.briarward.node.batch.SamplerClient.RunOutcome;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the scoring of texts with whole processes in virtual time. */
class RewardRunnerTest {
  private static final int ITEMS = 20;
  private static final long DONE_MILLIS = 4_000;
  private static final long TAKEOVER_MILLIS = 8_000;

  private final BatchCluster cluster = new BatchCluster();

  private BatchCluster.Process startAndSubmit() {
    BatchCluster.Process process = cluster.start("a");
    assertThat(process.submit(BatchCluster.scoredSpec("x", ITEMS)))
        .isEqualTo(SubmitOutcome.ACCEPTED);
    return process;
  }

  private void assertScored(ImmutableList<ItemResult> results) {
    assertThat(results.stream().map(ItemResult::itemId).toList()).containsNoDuplicates();
    assertThat(results).hasSize(ITEMS);
    for (ItemResult result : results) {
      assertThat(result.output()).isEqualTo(FakeSamplers.output(result.itemId()));
      assertThat(cluster.rewards.scores("r-" + result.itemId()))
          .contains(result.score().orElseThrow());
    }
  }

  @Test
  void resultHasTheScoreOfItsText() {
    cluster.addScorers(2);
    BatchCluster.Process process = startAndSubmit();
    cluster.advance(DONE_MILLIS);
    assertScored(BatchCluster.allResults(process, "x"));
    assertThat(cluster.rewards.calls()).hasSize(ITEMS);
  }

  @Test
  void textWithoutScoreIsNotListed() {
    BatchCluster.Process process = startAndSubmit();
    cluster.advance(DONE_MILLIS);
    assertThat(BatchCluster.allResults(process, "x")).isEmpty();
    cluster.addScorers(1);
    cluster.advance(DONE_MILLIS);
    assertScored(BatchCluster.allResults(process, "x"));
    assertThat(cluster.samplers.calls()).hasSize(ITEMS);
  }

  @Test
  void callStartsOnlyAfterTheLastEventOfItsText() {
    cluster.addScorers(2);
    cluster.samplers.setOutcomes(call -> RunOutcome.BROKEN);
    startAndSubmit();
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.rewards.calls()).isEmpty();
  }

  @Test
  void interruptedAndRejectedCallsAreRepeated() {
    cluster.addScorers(2);
    Set<String> seen = new HashSet<>();
    cluster.rewards.setOutcomes(
        call ->
            seen.add(call.id())
                ? (seen.size() % 2 == 0 ? Outcome.BROKEN : Outcome.NOT_RUN)
                : Outcome.SCORED);
    BatchCluster.Process process = startAndSubmit();
    cluster.advance(DONE_MILLIS);
    assertScored(BatchCluster.allResults(process, "x"));
    assertThat(cluster.rewards.calls()).hasSize(2 * ITEMS);
  }

  @Test
  void itemFailsOnceItsCallFailedAsOftenAsTheRoutesAllow() {
    cluster.addScorers(2);
    String failing = "r-x-item3";
    cluster.rewards.setOutcomes(
        call -> call.id().equals(failing) ? Outcome.FAILED : Outcome.SCORED);
    BatchCluster.Process process = startAndSubmit();
    cluster.advance(DONE_MILLIS);
    ImmutableList<ItemResult> results = BatchCluster.allResults(process, "x");
    assertThat(results).hasSize(ITEMS);
    assertThat(
            results.stream().filter(result -> !result.succeeded()).map(ItemResult::itemId).toList())
        .containsExactly("x-item3");
    assertThat(cluster.rewards.calls().stream().map(RewardCall::id).filter(failing::equals).count())
        .isEqualTo(BatchCluster.TERMS.maxAttempts());
  }

  @Test
  void callsAreCountedByServiceAndOutcome() {
    cluster.addScorers(2);
    Set<String> seen = new HashSet<>();
    cluster.rewards.setOutcomes(call -> seen.add(call.id()) ? Outcome.NOT_RUN : Outcome.SCORED);
    String metrics = "briarward_reward_calls_total{outcome=\"%s\",service=\"scorers\"} " + ITEMS;
    BatchCluster.Process process = startAndSubmit();
    cluster.advance(DONE_MILLIS);
    String scraped = process.metrics.scrape();
    assertThat(scraped).contains(metrics.formatted("not-run"));
    assertThat(scraped).contains(metrics.formatted("scored"));
    assertThat(scraped).contains("briarward_reward_call_duration_seconds_count");
  }

  @Test
  void callWithoutResponseIsRepeated() {
    cluster.addScorers(2);
    cluster.rewards.setSilent(true);
    final BatchCluster.Process process = startAndSubmit();
    cluster.advance(1_000);
    cluster.rewards.setSilent(false);
    cluster.advance(DONE_MILLIS);
    assertScored(BatchCluster.allResults(process, "x"));
  }

  @Test
  void batchOfKilledProcessIsScoredByItsNextOwner() {
    cluster.addScorers(2);
    cluster.rewards.setSilent(true);
    final BatchCluster.Process other = cluster.start("b");
    BatchCluster.Process process = startAndSubmit();
    cluster.advance(600);
    process.kill();
    cluster.rewards.setSilent(false);
    cluster.advance(TAKEOVER_MILLIS);
    assertScored(BatchCluster.allResults(other, "x"));
  }

  @Test
  void endedBatchSendsNoFurtherCalls() {
    cluster.addScorers(2);
    cluster.rewards.setOutcomes(call -> Outcome.NOT_RUN);
    BatchCluster.Process process = startAndSubmit();
    cluster.advance(1_500);
    assertThat(cluster.await(process.batches.end("x", BatchCluster.ORGANISATION))).isTrue();
    cluster.advance(500);
    int calls = cluster.rewards.calls().size();
    assertThat(calls).isGreaterThan(0);
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.rewards.calls()).hasSize(calls);
  }

  @Test
  void drainingProcessScoresTheTextsThatItHas() {
    cluster.addScorers(2);
    BatchCluster.Process process = startAndSubmit();
    cluster.advance(150); // The first texts are complete and their calls in flight.
    int runs = cluster.samplers.calls().size();
    cluster.await(process.batches.drain(3_000).toSingleDefault(true));
    assertThat(cluster.rewards.calls()).hasSize(runs);
    assertThat(BatchCluster.allResults(process, "x")).hasSize(runs);
  }

  @Test
  void textsAreScoredWhileOthersWaitForAnotherService() {
    cluster.addScorers(2);
    BatchCluster.Process process = cluster.start("a");
    process.submit(BatchCluster.specOfTwoScorers("x", ITEMS));
    cluster.advance(DONE_MILLIS);
    assertThat(BatchCluster.allResults(process, "x")).hasSize(ITEMS / 2);
    cluster.addOtherScorers(1);
    cluster.advance(DONE_MILLIS);
    assertScored(BatchCluster.allResults(process, "x"));
  }

  @Test
  void batchOfNodeThatReachesNoScorerIsScoredByAnotherNode() {
    cluster.addScorers(2);
    BatchCluster.Process a = cluster.start("a");
    final BatchCluster.Process b = cluster.start("b");
    a.cutOffFromScorers();
    assertThat(a.submit(BatchCluster.scoredSpec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    cluster.advance(TAKEOVER_MILLIS);
    assertScored(BatchCluster.allResults(b, "x"));
  }

  @Test
  void batchStaysWithItsNodeWhileNoNodeReachesScorers() {
    cluster.addScorers(2);
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    a.cutOffFromScorers();
    b.cutOffFromScorers();
    a.submit(BatchCluster.scoredSpec("x", ITEMS));
    b.submit(BatchCluster.scoredSpec("y", ITEMS));
    cluster.advance(TAKEOVER_MILLIS);
    assertThat(cluster.owner("x")).isEqualTo(Optional.of(a.incarnation));
    assertThat(cluster.owner("y")).isEqualTo(Optional.of(b.incarnation));
    assertThat(cluster.samplers.calls()).hasSize(2 * ITEMS);
  }

  /** Each upstream has four slots, of which reward calls leave two to live requests. */
  @Test
  void callsLeaveSlotsToLiveRequests() {
    cluster.addScorers(2);
    startAndSubmit();
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.rewards.maxInFlight()).isEqualTo(4);
  }
}
