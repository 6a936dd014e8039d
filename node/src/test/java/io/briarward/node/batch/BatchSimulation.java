package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.ItemResult;
import io.briarward.node.batch.BatchService.ResultPage;
import io.briarward.node.batch.BatchService.SubmitOutcome;
import io.briarward.node.batch.SamplerClient.RunOutcome;
import io.briarward.node.testing.MemoryStore.WriteOutcome;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A randomised simulation of batches under faults.
 *
 * <p>Processes stop and start, singly and all at once. The store rejects writes, loses responses,
 * applies writes late, fails and loses the history of its change feed. Samplers break off streams.
 */
final class BatchSimulation {
  private static final int NODES = 4;
  private static final int ACTIONS = 60;
  private static final int ITEMS_PER_BATCH = 40;
  private static final long MAX_ACTION_INTERVAL_MILLIS = 300;
  private static final long CALL_TIMEOUT_MILLIS = 2_000;

  /** Enough to detect stopped owners, take their batches over and run all remaining items. */
  private static final long RECOVERY_MILLIS = 12_000;

  private final BatchCluster cluster = new BatchCluster();
  private final BatchCluster.Process[] processes = new BatchCluster.Process[NODES];
  private final Map<String, Set<SubmitOutcome>> outcomes = new HashMap<>();
  private final Set<String> ended = new HashSet<>();
  private final Map<String, Map<Integer, ItemResult>> resultsByBatch = new HashMap<>();
  private final Random random;

  BatchSimulation(long seed) {
    random = new Random(seed);
  }

  /** Lets two models run on the samplers, so that batches compete. */
  BatchSimulation compete() {
    cluster.addSecondModel();
    return this;
  }

  /** Runs random actions, then a phase without faults, and checks the results of all batches. */
  void run() {
    cluster.samplers.setOutcomes(
        call -> random.nextInt(8) == 0 ? RunOutcome.BROKEN : RunOutcome.COMPLETE);
    cluster.rewards.setOutcomes(call -> randomRewardOutcome());
    cluster.addScorers(2);
    for (int node = 0; node < NODES; node++) {
      start(node);
    }
    for (int action = 0; action < ACTIONS; action++) {
      performRandomAction();
      cluster.advance(10 + (long) (random.nextDouble() * MAX_ACTION_INTERVAL_MILLIS));
    }
    recover();
    checkBatches();
  }

  private RewardClient.Outcome randomRewardOutcome() {
    return switch (random.nextInt(8)) {
      case 0 -> RewardClient.Outcome.BROKEN;
      case 1 -> RewardClient.Outcome.NOT_RUN;
      default -> RewardClient.Outcome.SCORED;
    };
  }

  private void performRandomAction() {
    switch (random.nextInt(12)) {
      case 0, 1, 2 -> submit();
      case 3, 4 -> read();
      case 5 -> stop(random.nextInt(NODES));
      case 6 -> start(random.nextInt(NODES));
      case 7 -> cluster.store.forgetHistory();
      case 8 -> cluster.store.setDown(random.nextBoolean());
      case 9 -> injectWriteFaults(random.nextInt(3));
      case 10 -> end();
      case 11 -> restartAllProcesses();
      default -> throw new AssertionError();
    }
  }

  private void submit() {
    // With an id that was used before, this repeats an earlier submission.
    String newId = "b" + random.nextInt(12);
    BatchSpec spec =
        isScored(newId)
            ? BatchCluster.scoredSpec(newId, ITEMS_PER_BATCH)
            : BatchCluster.spec(newId, ITEMS_PER_BATCH);
    Optional<BatchCluster.Process> process = anyProcess();
    if (process.isEmpty()) {
      return;
    }
    SubmitOutcome outcome =
        awaitResponse(process.get().submission(spec)).orElse(SubmitOutcome.UNKNOWN);
    outcomes.computeIfAbsent(spec.id(), unused -> new HashSet<>()).add(outcome);
  }

  private void read() {
    Optional<BatchCluster.Process> process = anyProcess();
    for (String id : ImmutableList.copyOf(outcomes.keySet())) {
      process.ifPresent(each -> read(each, id, random.nextInt(ITEMS_PER_BATCH)));
    }
  }

  private void read(BatchCluster.Process process, String id, int after) {
    Optional<Optional<ResultPage>> page =
        awaitResponse(process.batches.results(id, BatchCluster.ORGANISATION, after, 0));
    if (page.isPresent() && page.get().isPresent()) {
      checkUnchanged(id, after, page.get().get().results());
    }
  }

  /** Checks that the result at a position never changes. */
  private void checkUnchanged(String id, int after, List<ItemResult> results) {
    Map<Integer, ItemResult> positions =
        resultsByBatch.computeIfAbsent(id, unused -> new HashMap<>());
    for (int i = 0; i < results.size(); i++) {
      ItemResult before = positions.putIfAbsent(after + i, results.get(i));
      assertWithMessage("result of batch %s at position %s", id, after + i)
          .that(before == null ? results.get(i) : before)
          .isEqualTo(results.get(i));
    }
  }

  private void end() {
    Optional<BatchCluster.Process> process = anyProcess();
    if (process.isPresent() && !outcomes.isEmpty()) {
      ImmutableList<String> ids = ImmutableList.sortedCopyOf(outcomes.keySet());
      String id = ids.get(random.nextInt(ids.size()));
      ended.add(id);
      var unused = awaitResponse(process.get().batches.end(id, BatchCluster.ORGANISATION));
    }
  }

  private void injectWriteFaults(int oneIn) {
    ImmutableList<WriteOutcome> faults =
        ImmutableList.of(WriteOutcome.REJECTED, WriteOutcome.RESPONSE_LOST, WriteOutcome.DELAYED);
    cluster.store.setWriteOutcomes(
        transaction ->
            oneIn > 0 && random.nextInt(oneIn * 3) == 0
                ? faults.get(random.nextInt(faults.size()))
                : WriteOutcome.APPLIED);
  }

  private void restartAllProcesses() {
    for (int node = 0; node < NODES; node++) {
      stop(node);
    }
    cluster.advance(500);
    for (int node = 0; node < NODES; node++) {
      start(node);
    }
  }

  private void start(int node) {
    if (processes[node] == null) {
      processes[node] = cluster.start("node" + node);
    }
  }

  private void stop(int node) {
    if (processes[node] != null) {
      processes[node].kill();
      processes[node] = null;
    }
  }

  private Optional<BatchCluster.Process> anyProcess() {
    return Optional.ofNullable(processes[random.nextInt(NODES)]);
  }

  private void recover() {
    cluster.store.setDown(false);
    cluster.store.setWriteOutcomes(transaction -> WriteOutcome.APPLIED);
    cluster.samplers.setOutcomes(call -> RunOutcome.COMPLETE);
    cluster.rewards.setOutcomes(call -> RewardClient.Outcome.SCORED);
    for (int node = 0; node < NODES; node++) {
      start(node);
    }
    cluster.advance(RECOVERY_MILLIS);
  }

  private void checkBatches() {
    for (Map.Entry<String, Set<SubmitOutcome>> entry : outcomes.entrySet()) {
      String id = entry.getKey();
      if (entry.getValue().contains(SubmitOutcome.ACCEPTED)) {
        for (BatchCluster.Process process : processes) {
          checkAccepted(process, id);
        }
      } else if (!entry.getValue().contains(SubmitOutcome.UNKNOWN)) {
        assertWithMessage("runs of rejected batch %s", id).that(runCount(id)).isEqualTo(0);
        assertWithMessage("reward calls of rejected batch %s", id)
            .that(rewardCallCount(id))
            .isEqualTo(0);
      }
    }
  }

  private void checkAccepted(BatchCluster.Process process, String id) {
    ImmutableList<ItemResult> results = BatchCluster.allResults(process, id);
    checkUnchanged(id, 0, results);
    assertWithMessage("items of batch %s", id)
        .that(results.stream().map(ItemResult::itemId).toList())
        .containsNoDuplicates();
    if (!ended.contains(id)) {
      assertWithMessage("results of batch %s", id).that(results).hasSize(ITEMS_PER_BATCH);
    }
    for (ItemResult result : results) {
      assertThat(result.output()).isEqualTo(FakeSamplers.output(result.itemId()));
      if (isScored(id)) {
        assertThat(cluster.rewards.scores("r-" + result.itemId()))
            .contains(result.score().orElseThrow());
      } else {
        assertThat(result.score()).isEmpty();
      }
    }
  }

  /** Returns whether the texts of a batch are scored; those with an odd number are. */
  private static boolean isScored(String id) {
    return Integer.parseInt(id.substring(1)) % 2 == 1;
  }

  private long rewardCallCount(String id) {
    return cluster.rewards.calls().stream()
        .filter(call -> call.id().startsWith("r-" + id + "-"))
        .count();
  }

  private long runCount(String id) {
    return cluster.samplers.calls().stream()
        .filter(call -> call.item().id().startsWith(id + "-"))
        .count();
  }

  /** Returns the response of a call, or empty if it failed or timed out. */
  private <T> Optional<T> awaitResponse(Single<T> call) {
    AtomicBoolean done = new AtomicBoolean();
    TestObserver<T> observer = call.onErrorComplete().doFinally(() -> done.set(true)).test();
    for (long passed = 0; passed < CALL_TIMEOUT_MILLIS && !done.get(); passed += 10) {
      cluster.advance(10);
    }
    return observer.values().stream().findFirst();
  }
}
