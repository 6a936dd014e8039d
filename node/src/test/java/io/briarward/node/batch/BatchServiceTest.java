package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.platform.Transaction;
import io.briarward.core.weights.FreshnessDemand;
import io.briarward.node.batch.BatchService.Submitted;
import io.briarward.node.batch.SamplerClient.Ending;
import io.briarward.node.testing.MemoryStore.Fate;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class BatchServiceTest {
  private static final int ITEMS = 20;
  private static final long DONE_MILLIS = 3_000;
  private static final long TAKEOVER_MILLIS = 8_000;

  private final BatchWorld world = new BatchWorld();

  private static boolean touches(Transaction transaction, String table) {
    return transaction.writes().stream().anyMatch(write -> write.row().table().equals(table));
  }

  private static boolean inserts(Transaction transaction) {
    return touches(transaction, BatchStore.HEADS)
        && transaction.conditions().stream().anyMatch(c -> c.version() == Transaction.ABSENT);
  }

  private static void assertWhole(ImmutableList<ItemResult> results, int items) {
    assertThat(results).hasSize(items);
    assertThat(results.stream().map(ItemResult::itemId).collect(ImmutableSet.toImmutableSet()))
        .hasSize(items);
    for (ItemResult result : results) {
      assertThat(result.output()).isEqualTo(FakeSamplers.output(result.itemId()));
      assertThat(result.versions()).containsExactly(1L);
    }
  }

  @Test
  void acceptedBatchIsRunAndReadAtAnotherNode() {
    BatchWorld.Process a = world.start("a");
    BatchWorld.Process b = world.start("b");
    assertThat(a.submit(BatchWorld.spec("x", ITEMS))).isEqualTo(Submitted.ACCEPTED);
    world.advance(DONE_MILLIS);
    assertWhole(BatchWorld.all(b, "x"), ITEMS);
    assertThat(BatchWorld.all(a, "x")).isEqualTo(BatchWorld.all(b, "x"));
  }

  @Test
  void repeatedSubmissionRunsOnce() {
    BatchWorld.Process a = world.start("a");
    BatchWorld.Process b = world.start("b");
    assertThat(a.submit(BatchWorld.spec("x", ITEMS))).isEqualTo(Submitted.ACCEPTED);
    assertThat(b.submit(BatchWorld.spec("x", ITEMS))).isEqualTo(Submitted.ACCEPTED);
    world.advance(DONE_MILLIS);
    assertThat(world.samplers.calls()).hasSize(ITEMS);
  }

  @Test
  void lostAnswerOfAcceptanceIsResolved() {
    AtomicInteger writes = new AtomicInteger();
    world.store.decideFates(
        transaction ->
            inserts(transaction) && writes.getAndIncrement() == 0
                ? Fate.ANSWER_LOST
                : Fate.ANSWERED);
    BatchWorld.Process a = world.start("a");
    assertThat(a.submit(BatchWorld.spec("x", ITEMS))).isEqualTo(Submitted.ACCEPTED);
    world.advance(DONE_MILLIS);
    assertWhole(BatchWorld.all(a, "x"), ITEMS);
  }

  @Test
  void acceptanceThatMayStillArriveIsNotCalledRefused() {
    world.store.decideFates(transaction -> inserts(transaction) ? Fate.LATE : Fate.ANSWERED);
    BatchWorld.Process a = world.start("a");
    assertThat(a.submit(BatchWorld.spec("x", ITEMS))).isNotEqualTo(Submitted.REFUSED);
    world.advance(DONE_MILLIS);
    assertWhole(BatchWorld.all(a, "x"), ITEMS);
  }

  @Test
  void nothingRunsOfRefusedBatch() {
    BatchWorld.Process a = world.start("a");
    world.store.setDown(true);
    assertThat(a.submit(BatchWorld.spec("x", ITEMS))).isEqualTo(Submitted.REFUSED);
    world.store.setDown(false);
    world.advance(DONE_MILLIS);
    assertThat(world.samplers.calls()).isEmpty();
    assertThat(a.results("x", 0)).isEmpty();
  }

  @Test
  void anotherNodeFinishesTheBatchOfDeadOne() {
    BatchWorld.Process a = world.start("a");
    BatchWorld.Process b = world.start("b");
    a.submit(BatchWorld.spec("x", ITEMS));
    world.advance(250);
    final ImmutableList<ItemResult> before = BatchWorld.all(b, "x");
    a.kill();
    world.advance(TAKEOVER_MILLIS);
    ImmutableList<ItemResult> after = BatchWorld.all(b, "x");
    assertWhole(after, ITEMS);
    assertThat(after.subList(0, before.size())).isEqualTo(before);
  }

  @Test
  void nobodyIsThoughtDeadWhileTheStoreTakesNoHeartbeats() {
    final BatchWorld.Process a = world.start("a");
    world.start("b");
    world.advance(5_000);
    world.store.decideFates(
        transaction -> touches(transaction, "nodes") ? Fate.REFUSED : Fate.ANSWERED);
    world.advance(1_000);
    world.samplers.decideEndings(call -> Ending.BROKEN);
    a.submit(BatchWorld.spec("x", ITEMS));
    world.advance(8_000);
    assertThat(world.owner("x")).hasValue(a.incarnation);
    world.store.decideFates(transaction -> Fate.ANSWERED);
    world.advance(8_000);
    assertThat(world.owner("x")).hasValue(a.incarnation);
  }

  @Test
  void submissionIsKeptElsewhereWhilePartOfTheStoreIsSilent() {
    world.store.silenceObjects(name -> name.startsWith("batch-0-"));
    BatchWorld.Process a = world.start("a");
    assertThat(a.submit(BatchWorld.spec("x", ITEMS))).isEqualTo(Submitted.ACCEPTED);
    a.kill();
    BatchWorld.Process b = world.start("b");
    world.advance(TAKEOVER_MILLIS);
    assertWhole(BatchWorld.all(b, "x"), ITEMS);
  }

  @Test
  void batchSurvivesTheEndOfAllProcesses() {
    BatchWorld.Process a = world.start("a");
    a.submit(BatchWorld.spec("x", ITEMS));
    a.kill();
    world.advance(1_000);
    BatchWorld.Process again = world.start("a");
    world.advance(DONE_MILLIS);
    assertWhole(BatchWorld.all(again, "x"), ITEMS);
  }

  @Test
  void plannedStopHandsTheBatchOnAtOnce() {
    BatchWorld.Process a = world.start("a");
    final BatchWorld.Process b = world.start("b");
    a.submit(BatchWorld.spec("x", 60));
    world.advance(250);
    var unused = a.batches.drain(2_000).andThen(a.nodes.leave()).subscribe();
    world.advance(500);
    a.kill();
    world.advance(DONE_MILLIS);
    assertWhole(BatchWorld.all(b, "x"), 60);
    assertThat(world.samplers.calls()).hasSize(60);
  }

  @Test
  void lostAnswersOfListingDoubleNothing() {
    AtomicInteger writes = new AtomicInteger();
    world.store.decideFates(
        transaction -> {
          if (!touches(transaction, "batch-results")) {
            return Fate.ANSWERED;
          }
          return switch (writes.getAndIncrement() % 3) {
            case 0 -> Fate.ANSWER_LOST;
            case 1 -> Fate.LATE;
            default -> Fate.ANSWERED;
          };
        });
    BatchWorld.Process a = world.start("a");
    a.submit(BatchWorld.spec("x", ITEMS));
    world.advance(30_000);
    assertWhole(BatchWorld.all(a, "x"), ITEMS);
  }

  @Test
  void brokenRunsGoOnAtAnotherSampler() {
    Set<String> broken = new HashSet<>();
    world.samplers.decideEndings(
        call -> broken.add(call.item().id()) ? Ending.BROKEN : Ending.COMPLETE);
    BatchWorld.Process a = world.start("a");
    a.submit(BatchWorld.spec("x", ITEMS));
    world.advance(30_000);
    assertWhole(BatchWorld.all(a, "x"), ITEMS);
  }

  @Test
  void endedBatchRunsNoLonger() {
    BatchWorld.Process a = world.start("a");
    BatchWorld.Process b = world.start("b");
    a.submit(BatchWorld.spec("x", 200));
    world.advance(250);
    assertThat(world.await(b.batches.end("x", BatchWorld.ORGANISATION))).isTrue();
    assertThat(world.await(b.batches.end("x", BatchWorld.ORGANISATION))).isTrue();
    world.advance(500);
    int calls = world.samplers.calls().size();
    assertThat(world.samplers.running()).isEqualTo(0);
    world.advance(DONE_MILLIS);
    assertThat(world.samplers.calls()).hasSize(calls);
  }

  @Test
  void otherOrganisationsSeeNothing() {
    BatchWorld.Process a = world.start("a");
    a.submit(BatchWorld.spec("x", 1));
    assertThat(world.await(a.batches.results("x", "other", 0, 0))).isEmpty();
    assertThat(world.await(a.batches.end("x", "other"))).isFalse();
    assertThat(world.await(a.batches.itemBody("x", "other", "x-item0"))).isEmpty();
    assertThat(world.await(a.batches.itemBody("x", BatchWorld.ORGANISATION, "x-item0")))
        .isPresent();
  }

  @Test
  void oldBatchesAreRemovedWhole() {
    BatchWorld.Process a = world.start("a");
    BatchWorld.Process b = world.start("b");
    a.submit(BatchWorld.spec("x", 100));
    a.submit(BatchWorld.spec("y", ITEMS));
    world.await(b.batches.end("y", BatchWorld.ORGANISATION));
    world.advance(BatchWorld.RETENTION_MILLIS - 5_000);
    assertWhole(BatchWorld.all(b, "x"), 100);
    world.advance(10_000);
    assertThat(world.store.rows(BatchStore.HEADS)).isEmpty();
    assertThat(world.store.rows("batch-results")).isEmpty();
    assertThat(world.store.objectNames()).isEmpty();
    assertThat(a.results("x", 0)).isEmpty();
  }

  @Test
  void nothingIsRemovedOrGivenUpBeforeTheStoresClockIsKnown() {
    BatchWorld.Process a = world.start("a");
    a.submit(BatchWorld.spec("x", ITEMS));
    world.advance(DONE_MILLIS);
    a.kill();
    world.store.silenceTables(table -> table.equals("nodes"));
    BatchWorld.Process again = world.start("a");
    world.advance(DONE_MILLIS);
    assertThat(world.store.rows(BatchStore.HEADS)).hasSize(1);
    assertThat(again.submit(BatchWorld.spec("y", ITEMS))).isEqualTo(Submitted.REFUSED);
    world.store.silenceTables(table -> false);
    world.advance(DONE_MILLIS);
    assertWhole(BatchWorld.all(again, "x"), ITEMS);
  }

  @Test
  void openBatchesTellHowFreshWeightsMustBe() {
    BatchWorld.Process process = world.start("a");
    assertThat(process.batches.freshnessDemands()).isEmpty();
    world.announce(2);
    world.advance(100);
    process.submit(BatchWorld.spec("x", 4));
    assertThat(process.batches.freshnessDemands()).containsExactly("m", new FreshnessDemand(1, 1));
    world.advance(2_000);
    // The batch is whole, so nothing needs its version any more.
    assertThat(process.batches.freshnessDemands()).containsExactly("m", new FreshnessDemand(0, 1));
  }

  @Test
  void runsOnSlowSamplerGoOnAtFasterOne() {
    world.samplers.paceEvents(60, call -> call.sampler().id().equals("s1") ? 20 : 100);
    BatchWorld.Process process = world.start("a");
    process.submit(BatchWorld.spec("x", 4));
    world.advance(3_500); // On the slow sampler a run takes 6 s.
    ImmutableList<ItemResult> results = BatchWorld.all(process, "x");
    assertThat(results).hasSize(4);
    for (ItemResult result : results) {
      assertThat(Splitter.on('\n').splitToList(result.output())).hasSize(60);
    }
    assertThat(world.samplers.calls().stream().anyMatch(call -> call.resumeAfter().isPresent()))
        .isTrue();
  }

  @Test
  void earlierBatchTakesPlacesFirst() {
    world.samplers.paceEvents(20, call -> 50);
    BatchWorld.Process process = world.start("a");
    process.submit(BatchWorld.spec("first", 60));
    process.submit(BatchWorld.spec("second", 60));
    world.advance(3_000);
    int first = BatchWorld.all(process, "first").size();
    int second = BatchWorld.all(process, "second").size();
    assertThat(first).isGreaterThan(0);
    assertThat(second).isLessThan(first);
  }
}
