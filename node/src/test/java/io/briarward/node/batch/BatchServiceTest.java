package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.base.Splitter;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Range;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.Transaction;
import io.briarward.core.weights.FreshnessDemand;
import io.briarward.node.batch.BatchService.SubmitOutcome;
import io.briarward.node.batch.SamplerClient.RunOutcome;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.testing.FakeFleetDecoder;
import io.briarward.node.testing.MemoryStore.WriteOutcome;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;

class BatchServiceTest {
  private static final int ITEMS = 20;
  private static final long DONE_MILLIS = 3_000;
  private static final long TAKEOVER_MILLIS = 8_000;

  private final BatchCluster cluster = new BatchCluster();

  private static boolean writesTo(Transaction transaction, String table) {
    return transaction.writes().stream().anyMatch(write -> write.row().table().equals(table));
  }

  private static boolean insertsHead(Transaction transaction) {
    return writesTo(transaction, BatchStore.HEADS_TABLE)
        && transaction.conditions().stream()
            .anyMatch(condition -> condition.version() == Transaction.ABSENT);
  }

  private static void assertComplete(ImmutableList<ItemResult> results, int items) {
    assertThat(results).hasSize(items);
    assertThat(results.stream().map(ItemResult::itemId).collect(ImmutableSet.toImmutableSet()))
        .hasSize(items);
    for (ItemResult result : results) {
      assertThat(result.output()).isEqualTo(FakeSamplers.output(result.itemId()));
      assertThat(result.versions()).containsExactly(1L);
    }
  }

  @Test
  void acceptedBatchRunsAndIsReadableFromAnotherNode() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(b, "x"), ITEMS);
    assertThat(BatchCluster.allResults(a, "x")).isEqualTo(BatchCluster.allResults(b, "x"));
  }

  @Test
  void repeatedSubmissionRunsItemsOnce() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    assertThat(b.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.samplers.calls()).hasSize(ITEMS);
  }

  @Test
  void submissionWithLostStoreResponseIsAccepted() {
    AtomicInteger writes = new AtomicInteger();
    cluster.store.setWriteOutcomes(
        transaction ->
            insertsHead(transaction) && writes.getAndIncrement() == 0
                ? WriteOutcome.RESPONSE_LOST
                : WriteOutcome.APPLIED);
    BatchCluster.Process a = cluster.start("a");
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(a, "x"), ITEMS);
  }

  @Test
  void submissionThatMayStillTakeEffectIsNotRejected() {
    cluster.store.setWriteOutcomes(
        transaction -> insertsHead(transaction) ? WriteOutcome.DELAYED : WriteOutcome.APPLIED);
    BatchCluster.Process a = cluster.start("a");
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isNotEqualTo(SubmitOutcome.REFUSED);
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(a, "x"), ITEMS);
  }

  @Test
  void rejectedBatchRunsNoItems() {
    BatchCluster.Process a = cluster.start("a");
    cluster.store.setDown(true);
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.REFUSED);
    cluster.store.setDown(false);
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.samplers.calls()).isEmpty();
    assertThat(a.results("x", 0)).isEmpty();
  }

  @Test
  void batchOfKilledProcessIsTakenOverAndCompleted() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(250);
    final ImmutableList<ItemResult> before = BatchCluster.allResults(b, "x");
    a.kill();
    cluster.advance(TAKEOVER_MILLIS);
    ImmutableList<ItemResult> after = BatchCluster.allResults(b, "x");
    assertComplete(after, ITEMS);
    assertThat(after.subList(0, before.size())).isEqualTo(before);
  }

  /** The next owner knew a part of the listed items and listed the others at a second position. */
  @Test
  void takeoverOfBatchWithLongTextsListsEachItemOnce() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    cluster.samplers.setEventSuffix(Strings.repeat("x", 7_000));
    a.submit(BatchCluster.spec("x", 128));
    while (BatchCluster.allResults(b, "x").size() < 72) {
      cluster.advance(10);
    }
    final ImmutableList<ItemResult> before = BatchCluster.allResults(b, "x");
    a.kill();
    cluster.advance(TAKEOVER_MILLIS);
    ImmutableList<ItemResult> after = BatchCluster.allResults(b, "x");
    assertThat(after.subList(0, before.size())).isEqualTo(before);
    assertThat(after.stream().map(ItemResult::itemId).toList()).containsNoDuplicates();
    assertThat(after).hasSize(128);
  }

  /** An owner with more results than positions left listed nothing at all from then on. */
  @Test
  void batchWithAnItemListedTwiceIsCompleted() {
    BatchCluster.Process a = cluster.start("a");
    final BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(250);
    a.kill();
    ImmutableList<Row> rows = cluster.store.rows(BatchStore.RESULTS_TABLE);
    assertThat(rows.size()).isIn(Range.open(1, ITEMS));
    cluster.store.put(BatchStore.RESULTS_TABLE, rows.get(1).key(), rows.get(0).value());
    cluster.advance(TAKEOVER_MILLIS);
    assertThat(BatchCluster.allResults(b, "x")).hasSize(ITEMS);
  }

  /** A transaction was limited in characters and exceeded the store's limit of bytes for ever. */
  @Test
  void textsOfCharactersWithSeveralBytesAreListed() {
    BatchCluster.Process a = cluster.start("a");
    cluster.samplers.setEventSuffix(Strings.repeat("あ", 5_000));
    a.submit(BatchCluster.spec("x", 60));
    cluster.store.setWriteOutcomes(
        transaction ->
            writesTo(transaction, BatchStore.RESULTS_TABLE)
                ? WriteOutcome.REJECTED
                : WriteOutcome.APPLIED);
    cluster.advance(DONE_MILLIS);
    cluster.store.setWriteOutcomes(transaction -> WriteOutcome.APPLIED);
    cluster.advance(DONE_MILLIS);
    assertThat(BatchCluster.allResults(a, "x")).hasSize(60);
  }

  /** The time-out held for all pages together, so a batch with many of them found no owner. */
  @Test
  void takeoverReadsAnyNumberOfPagesFromSlowStore() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    cluster.samplers.setEventSuffix(Strings.repeat("x", 7_000));
    a.submit(BatchCluster.spec("x", 190));
    while (BatchCluster.allResults(b, "x").size() < 160) {
      cluster.advance(10);
    }
    a.kill();
    cluster.store.setScanDelayMillis(400);
    cluster.advance(TAKEOVER_MILLIS);
    cluster.store.setScanDelayMillis(0);
    assertThat(BatchCluster.allResults(b, "x")).hasSize(190);
  }

  @Test
  void ownerIsKeptWhileStoreRejectsHeartbeats() {
    final BatchCluster.Process a = cluster.start("a");
    cluster.start("b");
    cluster.advance(5_000);
    cluster.store.setWriteOutcomes(
        transaction ->
            writesTo(transaction, "nodes") ? WriteOutcome.REJECTED : WriteOutcome.APPLIED);
    cluster.advance(1_000);
    cluster.samplers.setOutcomes(call -> RunOutcome.BROKEN);
    a.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(8_000);
    assertThat(cluster.owner("x")).hasValue(a.incarnation);
    cluster.store.setWriteOutcomes(transaction -> WriteOutcome.APPLIED);
    cluster.advance(8_000);
    assertThat(cluster.owner("x")).hasValue(a.incarnation);
  }

  @Test
  void submissionIsStoredUnderAnotherNameWhilePartOfTheStoreDoesNotRespond() {
    cluster.store.blockPuts(name -> name.startsWith("batch-0-"));
    BatchCluster.Process a = cluster.start("a");
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    a.kill();
    BatchCluster.Process b = cluster.start("b");
    cluster.advance(TAKEOVER_MILLIS);
    assertComplete(BatchCluster.allResults(b, "x"), ITEMS);
  }

  @Test
  void batchCompletesAfterAllProcessesRestart() {
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", ITEMS));
    a.kill();
    cluster.advance(1_000);
    BatchCluster.Process restarted = cluster.start("a");
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(restarted, "x"), ITEMS);
  }

  @Test
  void drainReleasesBatchWithoutRepeatingRuns() {
    BatchCluster.Process a = cluster.start("a");
    final BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", 60));
    cluster.advance(250);
    var unused = a.batches.drain(2_000).andThen(a.nodes.leave()).subscribe();
    cluster.advance(500);
    a.kill();
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(b, "x"), 60);
    assertThat(cluster.samplers.calls()).hasSize(60);
  }

  @Test
  void lostStoreResponsesRecordEachResultOnce() {
    AtomicInteger writes = new AtomicInteger();
    cluster.store.setWriteOutcomes(
        transaction -> {
          if (!writesTo(transaction, "batch-results")) {
            return WriteOutcome.APPLIED;
          }
          return switch (writes.getAndIncrement() % 3) {
            case 0 -> WriteOutcome.RESPONSE_LOST;
            case 1 -> WriteOutcome.DELAYED;
            default -> WriteOutcome.APPLIED;
          };
        });
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(30_000);
    assertComplete(BatchCluster.allResults(a, "x"), ITEMS);
  }

  @Test
  void brokenRunsAreRetried() {
    Set<String> broken = new HashSet<>();
    cluster.samplers.setOutcomes(
        call -> broken.add(call.item().id()) ? RunOutcome.BROKEN : RunOutcome.COMPLETE);
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(30_000);
    assertComplete(BatchCluster.allResults(a, "x"), ITEMS);
  }

  @Test
  void endedBatchStartsNoFurtherRuns() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", 200));
    cluster.advance(250);
    assertThat(cluster.await(b.batches.end("x", BatchCluster.ORGANISATION))).isTrue();
    assertThat(cluster.await(b.batches.end("x", BatchCluster.ORGANISATION))).isTrue();
    cluster.advance(500);
    int calls = cluster.samplers.calls().size();
    assertThat(cluster.samplers.running()).isEqualTo(0);
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.samplers.calls()).hasSize(calls);
  }

  @Test
  void batchIsInvisibleToOtherOrganisations() {
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", 1));
    assertThat(cluster.await(a.batches.results("x", "other", 0, 0))).isEmpty();
    assertThat(cluster.await(a.batches.end("x", "other"))).isFalse();
    assertThat(cluster.await(a.batches.itemBody("x", "other", "x-item0"))).isEmpty();
    assertThat(cluster.await(a.batches.itemBody("x", BatchCluster.ORGANISATION, "x-item0")))
        .isPresent();
  }

  @Test
  void batchesAreRemovedCompletelyAfterRetentionTime() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", 100));
    a.submit(BatchCluster.spec("y", ITEMS));
    cluster.await(b.batches.end("y", BatchCluster.ORGANISATION));
    cluster.advance(BatchCluster.RETENTION_MILLIS - 5_000);
    assertComplete(BatchCluster.allResults(b, "x"), 100);
    cluster.advance(10_000);
    assertThat(cluster.store.rows(BatchStore.HEADS_TABLE)).isEmpty();
    assertThat(cluster.store.rows("batch-results")).isEmpty();
    assertThat(cluster.store.objectNames()).isEmpty();
    assertThat(a.results("x", 0)).isEmpty();
  }

  @Test
  void nothingIsRemovedOrGivenUpWhileStoreClockIsUnknown() {
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(DONE_MILLIS);
    a.kill();
    cluster.store.blockSnapshots(table -> table.equals("nodes"));
    BatchCluster.Process restarted = cluster.start("a");
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.store.rows(BatchStore.HEADS_TABLE)).hasSize(1);
    assertThat(restarted.submit(BatchCluster.spec("y", ITEMS))).isEqualTo(SubmitOutcome.REFUSED);
    cluster.store.blockSnapshots(table -> false);
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(restarted, "x"), ITEMS);
  }

  @Test
  void freshnessDemandsFollowOpenBatches() {
    BatchCluster.Process process = cluster.start("a");
    assertThat(process.batches.freshnessDemands()).isEmpty();
    cluster.announce(2);
    cluster.advance(100);
    process.submit(BatchCluster.spec("x", 4));
    assertThat(process.batches.freshnessDemands()).containsExactly("m", new FreshnessDemand(1, 1));
    cluster.advance(2_000);
    // The batch is complete, so no item requires its minimum version any more.
    assertThat(process.batches.freshnessDemands()).containsExactly("m", new FreshnessDemand(0, 1));
  }

  /** Events that are a second apart are progress, however slow. */
  @Test
  void slowButSteadyStreamIsNotCut() {
    cluster.samplers.setEventGaps(6, call -> 1_000);
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", 4));
    cluster.advance(8_000);
    assertThat(BatchCluster.allResults(a, "x")).hasSize(4);
    assertThat(cluster.samplers.calls()).hasSize(4);
  }

  @Test
  void streamWithoutEventsIsRunElsewhere() {
    cluster.samplers.setEventGaps(6, call -> call.sampler().id().equals("s1") ? 60_000 : 10);
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", 4));
    cluster.advance(20_000);
    assertThat(BatchCluster.allResults(a, "x")).hasSize(4);
  }

  @Test
  void slowRunsMoveToFasterSampler() {
    cluster.samplers.setEventGaps(60, call -> call.sampler().id().equals("s1") ? 20 : 100);
    BatchCluster.Process process = cluster.start("a");
    process.submit(BatchCluster.spec("x", 4));
    cluster.advance(3_500); // On the slow sampler a run takes 6 s.
    ImmutableList<ItemResult> results = BatchCluster.allResults(process, "x");
    assertThat(results).hasSize(4);
    for (ItemResult result : results) {
      assertThat(Splitter.on('\n').splitToList(result.output())).hasSize(60);
    }
    assertThat(cluster.samplers.calls().stream().anyMatch(call -> call.resumeAfter().isPresent()))
        .isTrue();
  }

  @Test
  void earlierBatchGetsSamplerSlotsFirst() {
    cluster.samplers.setEventGaps(20, call -> 50);
    BatchCluster.Process process = cluster.start("a");
    process.submit(BatchCluster.spec("first", 60));
    process.submit(BatchCluster.spec("second", 60));
    cluster.advance(3_000);
    int first = BatchCluster.allResults(process, "first").size();
    int second = BatchCluster.allResults(process, "second").size();
    assertThat(first).isGreaterThan(0);
    assertThat(second).isLessThan(first);
  }

  /** The load is three processes with a batch of 20 items each second, for 20 s. */
  @Test
  void processesTogetherKeepToTheLimitThatSamplerNames() {
    double limitPerSecond = 2;
    cluster.samplers.setLimits(
        call ->
            call.sampler().id().equals("s1")
                ? OptionalDouble.of(limitPerSecond)
                : OptionalDouble.empty());
    ImmutableList<BatchCluster.Process> processes =
        ImmutableList.of(cluster.start("a"), cluster.start("b"), cluster.start("c"));
    for (int second = 0; second < 20; second++) {
      for (BatchCluster.Process process : processes) {
        String id = "x" + second + Incarnations.vm(process.incarnation);
        assertThat(process.submit(BatchCluster.spec(id, ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
      }
      cluster.advance(1_000);
    }
    cluster.advance(DONE_MILLIS);

    ImmutableList<Long> timesMillis = cluster.samplers.callTimesMillis("s1");
    long stableFromMillis = timesMillis.get(0) + 3_000;
    for (long fromMillis : timesMillis) {
      if (fromMillis >= stableFromMillis) {
        long count =
            timesMillis.stream()
                .filter(each -> each >= fromMillis && each < fromMillis + 4_000)
                .count();
        assertThat(count).isAtMost((long) (1.5 * 4 * limitPerSecond + 5));
      }
    }
    assertComplete(BatchCluster.allResults(processes.get(0), "x19a"), ITEMS);
  }

  private void putSampler(String id, String softwareVersion) {
    cluster.store.put(
        new FakeFleetDecoder().upstreamTable(), id, FakeFleetDecoder.samplerRow(softwareVersion));
  }

  /** Returns the calls that resumed a text which a sampler of another software version began. */
  private ImmutableList<SamplerClient.ItemCall> resumedAtOtherSoftware() {
    Map<String, String> softwareByItem = new HashMap<>();
    ImmutableList.Builder<SamplerClient.ItemCall> joined = ImmutableList.builder();
    for (SamplerClient.ItemCall call : cluster.samplers.calls()) {
      String software = call.sampler().softwareVersion();
      if (call.resumeAfter().isEmpty()) {
        softwareByItem.put(call.item().id(), software);
      } else if (!softwareByItem.get(call.item().id()).equals(software)) {
        joined.add(call);
      }
    }
    return joined.build();
  }

  @Test
  void brokenTextResumesOnlyAtTheSoftwareVersionThatBeganIt() {
    putSampler("n1", "2");
    putSampler("n2", "2");
    Set<String> broken = new HashSet<>();
    cluster.samplers.setOutcomes(
        call -> broken.add(call.item().id()) ? RunOutcome.BROKEN : RunOutcome.COMPLETE);
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(TAKEOVER_MILLIS);
    assertComplete(BatchCluster.allResults(a, "x"), ITEMS);
    assertThat(resumedAtOtherSoftware()).isEmpty();
    assertThat(cluster.samplers.calls().stream().filter(call -> call.resumeAfter().isPresent()))
        .isNotEmpty();
  }

  @Test
  void slowTextMovesOnlyToSamplersOfTheSoftwareVersionThatBeganIt() {
    putSampler("n1", "2");
    putSampler("n2", "2");
    cluster.samplers.setEventGaps(3, call -> call.sampler().id().startsWith("n") ? 20 : 300);
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", 12));
    cluster.advance(2 * DONE_MILLIS);
    assertComplete(BatchCluster.allResults(a, "x"), 12);
    assertThat(resumedAtOtherSoftware()).isEmpty();
  }

  @Test
  void textBeginsAnewOnceNoSamplerOfItsSoftwareVersionIsLeft() {
    cluster.samplers.setOutcomes(
        call ->
            call.sampler().softwareVersion().equals("1") ? RunOutcome.BROKEN : RunOutcome.COMPLETE);
    BatchCluster.Process a = cluster.start("a");
    a.submit(BatchCluster.spec("x", 4));
    cluster.advance(300);
    putSampler("s1", "2");
    putSampler("s2", "2");
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(a, "x"), 4);
    assertThat(resumedAtOtherSoftware()).isEmpty();
  }

  @Test
  void batchOfNodeThatReachesNoSamplerRunsOnAnotherNode() {
    BatchCluster.Process a = cluster.start("a");
    final BatchCluster.Process b = cluster.start("b");
    a.cutOff();
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(a, "x"), ITEMS);
    assertThat(BatchCluster.allResults(b, "x")).isEqualTo(BatchCluster.allResults(a, "x"));
  }

  @Test
  void batchStaysWithItsNodeWhileNoNodeReachesSamplers() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    a.cutOff();
    b.cutOff();
    a.submit(BatchCluster.spec("x", ITEMS));
    b.submit(BatchCluster.spec("y", ITEMS));
    cluster.advance(DONE_MILLIS);
    Optional<String> ownerOfX = cluster.owner("x");
    Optional<String> ownerOfY = cluster.owner("y");
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.owner("x")).isEqualTo(ownerOfX);
    assertThat(cluster.owner("y")).isEqualTo(ownerOfY);
  }

  /** Ends batch {@code x} at {@code process} and returns the number of calls until then. */
  private int endBatch(BatchCluster.Process process) {
    assertThat(cluster.await(process.batches.end("x", BatchCluster.ORGANISATION))).isTrue();
    cluster.advance(200); // The other processes have read the head by then.
    return cluster.samplers.calls().size();
  }

  @Test
  void batchThatEndsWhileItIsTakenOverDoesNotRun() {
    cluster.samplers.setEventGaps(3, call -> 400);
    BatchCluster.Process a = cluster.start("a");
    final BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", ITEMS));
    cluster.store.setObjectDelayMillis(1_000);
    a.kill();
    while (!cluster.owner("x").equals(Optional.of(b.incarnation))) {
      cluster.advance(10);
    }
    int calls = endBatch(b);
    cluster.advance(TAKEOVER_MILLIS);
    assertThat(cluster.samplers.calls()).hasSize(calls);
  }

  @Test
  void batchThatEndsWhileItsResultsAreRejectedDoesNotRunOn() {
    cluster.samplers.setEventGaps(3, call -> 100);
    BatchCluster.Process a = cluster.start("a");
    final BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", 3 * ITEMS));
    cluster.store.setWriteOutcomes(
        transaction ->
            writesTo(transaction, BatchStore.RESULTS_TABLE)
                ? WriteOutcome.REJECTED
                : WriteOutcome.APPLIED);
    cluster.advance(500);
    int calls = endBatch(b);
    assertThat(calls).isLessThan(3 * ITEMS);
    cluster.advance(TAKEOVER_MILLIS);
    assertThat(cluster.samplers.calls()).hasSize(calls);
  }

  /** The owner learns of the end from its rejected write, before the feed shows it. */
  @Test
  void ownerThatLearnsOfTheEndBeforeItsFeedDoesNotRunTheBatchAgain() {
    cluster.samplers.setEventGaps(3, call -> 100);
    BatchCluster.Process a = cluster.start("a");
    final BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", 10 * ITEMS));
    cluster.advance(500);
    cluster.store.delayFeeds(BatchStore.HEADS_TABLE::equals);
    endBatch(b);
    cluster.advance(1_000); // The owner lists results meanwhile.
    int calls = cluster.samplers.calls().size();
    assertThat(calls).isLessThan(10 * ITEMS);
    cluster.advance(TAKEOVER_MILLIS);
    assertThat(cluster.samplers.calls()).hasSize(calls);
  }

  @Test
  void itemsWaitWhileTheDataCentreOfTheirSamplersIsEvacuated() {
    FakeFleetDecoder fleet = new FakeFleetDecoder();
    String key = FakeFleetDecoder.EVACUATION_PREFIX + "nadi";
    BatchCluster.Process a = cluster.start("a");
    cluster.store.put(fleet.operatorTable(), key, JsonNodeFactory.instance.objectNode());
    cluster.advance(200);
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    cluster.advance(DONE_MILLIS);
    assertThat(cluster.samplers.calls()).isEmpty();
    cluster.store.remove(fleet.operatorTable(), key);
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(a, "x"), ITEMS);
  }

  /** A process that has just started knows the evacuations as soon as the configuration. */
  @Test
  void startedProcessKeepsToTheEvacuations() {
    FakeFleetDecoder fleet = new FakeFleetDecoder();
    String key = FakeFleetDecoder.EVACUATION_PREFIX + "nadi";
    BatchCluster.Process a = cluster.start("a");
    cluster.store.put(fleet.operatorTable(), key, JsonNodeFactory.instance.objectNode());
    cluster.advance(200);
    a.submit(BatchCluster.spec("x", ITEMS));
    a.kill();
    final BatchCluster.Process b = cluster.start("b");
    cluster.advance(TAKEOVER_MILLIS);
    assertThat(cluster.samplers.calls()).isEmpty();
    cluster.store.remove(fleet.operatorTable(), key);
    cluster.advance(DONE_MILLIS);
    assertComplete(BatchCluster.allResults(b, "x"), ITEMS);
  }

  /** Guards against a batch that no sampler takes and that uses up the chances of other batches. */
  @Test
  void itemsThatSamplersRejectDoNotStarveAnotherBatch() {
    assertRejectedBatchDoesNotStarveAnother();
  }

  /** Guards against batches that compete and of which one is rejected by all samplers. */
  @Test
  void rejectedBatchDoesNotStarveOneThatCompetesWithIt() {
    cluster.addSecondModel();
    assertRejectedBatchDoesNotStarveAnother();
  }

  private void assertRejectedBatchDoesNotStarveAnother() {
    cluster.samplers.setOutcomes(
        call -> call.item().id().startsWith("rejected") ? RunOutcome.NOT_RUN : RunOutcome.COMPLETE);
    BatchCluster.Process process = cluster.start("a");
    process.submit(BatchCluster.spec("rejected", 184));
    cluster.advance(1_000);
    process.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(4_000);
    assertThat(BatchCluster.allResults(process, "x")).hasSize(ITEMS);
  }

  /** Guards against items that no sampler takes and that use up the chances of their own batch. */
  @Test
  void itemsThatSamplersRejectDoNotStarveTheOthersOfTheirBatch() {
    cluster.samplers.setOutcomes(
        call -> call.item().id().endsWith("1") ? RunOutcome.NOT_RUN : RunOutcome.COMPLETE);
    BatchCluster.Process process = cluster.start("a");
    process.submit(BatchCluster.spec("x", 100));
    cluster.advance(6_000);
    assertThat(BatchCluster.allResults(process, "x")).hasSize(90);
  }

  /** Guards against a batch that is tried too rarely once samplers have room for it again. */
  @Test
  void batchThatWasRejectedForLongStartsSoonAfterSamplersHaveRoom() {
    cluster.samplers.setOutcomes(call -> RunOutcome.NOT_RUN);
    BatchCluster.Process process = cluster.start("a");
    process.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(5_000);
    cluster.samplers.setOutcomes(call -> RunOutcome.COMPLETE);
    cluster.advance(3_000);
    assertThat(BatchCluster.allResults(process, "x")).hasSize(ITEMS);
  }

  /** Guards against items that are sent although every sampler rejects them. */
  @Test
  void itemsLargerThanTheMemoryOfSamplersAreNotSentAndEndWithTheirBatch() {
    cluster.store.put(
        new FakeFleetDecoder().operatorTable(),
        new FakeFleetDecoder().configurationKey(),
        FakeFleetDecoder.configurationRowWithCapacity(2, 1_000));
    BatchCluster.Process process = cluster.start("a");
    BatchSpec spec = BatchCluster.spec("x", 8);
    process.submit(withTokens(spec, item -> item.id().endsWith("3") ? 1_001 : 1_000));
    cluster.advance(10_000);
    assertThat(BatchCluster.allResults(process, "x")).hasSize(7);
    assertThat(cluster.samplers.calls().stream().anyMatch(call -> call.item().id().endsWith("3")))
        .isFalse();
    cluster.advance(BatchCluster.TERMS.maxWaitMillis());
    assertThat(
            BatchCluster.allResults(process, "x").stream()
                .filter(result -> !result.succeeded())
                .count())
        .isEqualTo(1);
  }

  private static BatchSpec withTokens(BatchSpec spec, ToLongFunction<BatchItem> tokens) {
    return new BatchSpec(
        spec.id(),
        spec.model(),
        spec.minVersion(),
        spec.targetGroups(),
        spec.items().stream()
            .map(
                item ->
                    new BatchItem(
                        item.id(),
                        item.group(),
                        item.path(),
                        item.headers(),
                        item.bodyBase64(),
                        item.expectedTokens(),
                        tokens.applyAsLong(item),
                        item.rewardCall()))
            .collect(ImmutableList.toImmutableList()));
  }
}
