package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.Transaction;
import io.briarward.node.batch.BatchService.SubmitOutcome;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.testing.MemoryStore.WriteOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Load: all VMs are lost with open batches, or the owner of a batch loses the store. */
class BatchTakeoverTest {
  /** More than half of the memory that a process of the cluster has for submissions. */
  private static final int HALF_MEMORY_ITEMS = 2_000;

  private static final int ITEMS = 8;
  private static final int BATCHES = 6;

  private final BatchCluster cluster = new BatchCluster();

  /**
   * Submits batches to a VM one second apart, so that the ones with lower numbers are due first.
   */
  private void submitBatches(BatchCluster.Process process, int count) {
    cluster.samplers.setEventGaps(100, call -> 1_000); // Nothing completes before the loss.
    for (int i = 0; i < count; i++) {
      process.submit(BatchCluster.spec("b" + i, ITEMS));
      cluster.advance(1_000);
    }
  }

  /** Returns the ids of the batches whose heads were claimed from another owner, in order. */
  private List<String> recordClaims() {
    List<String> claims = new ArrayList<>();
    Map<String, String> owners = new HashMap<>();
    cluster.store.setWriteOutcomes(
        transaction -> {
          for (Transaction.Write write : transaction.writes()) {
            if (write.row().table().equals(BatchStore.HEADS_TABLE) && write.value().isPresent()) {
              JsonNode head = write.value().get();
              String owner = head.path("owner").asText();
              if (!owner.equals(owners.put(write.row().key(), owner))) {
                claims.add(write.row().key());
              }
            }
          }
          return WriteOutcome.APPLIED;
        });
    return claims;
  }

  /** Guards against batches taken over in any order, so that the one due first starts last. */
  @Test
  void restartedVmTakesItsBatchesOverByDueTimeAndBeforeItsRowIsRead() {
    BatchCluster.Process before = cluster.start("a");
    submitBatches(before, BATCHES);
    before.kill();
    List<String> claims = recordClaims();
    cluster.start("a"); // Returns 200 ms later.
    cluster.advance(100);
    assertThat(claims).containsExactly("b0", "b1", "b2", "b3", "b4", "b5").inOrder();
  }

  /** Guards against batches past the end of their wait being loaded before those still due. */
  @Test
  void batchesPastTheEndOfTheirWaitFollowTheOthers() {
    BatchCluster.Process before = cluster.start("a");
    submitBatches(before, 2);
    cluster.advance(BatchCluster.TERMS.maxWaitMillis() - 3_000);
    before.submit(BatchCluster.spec("fresh", ITEMS));
    before.kill();
    cluster.advance(3_000);
    List<String> claims = recordClaims();
    cluster.start("a");
    cluster.advance(500);
    assertThat(claims).containsExactly("fresh", "b0", "b1").inOrder();
  }

  /** Guards against a submission that cannot be read keeping all later batches from a VM. */
  @Test
  void batchesWithoutSubmissionDoNotDelayTheOthers() {
    BatchCluster.Process before = cluster.start("a");
    submitBatches(before, 4);
    before.kill();
    cluster.store.rows(BatchStore.HEADS_TABLE).stream()
        .map(row -> BatchHead.parse(row.value()))
        .filter(head -> ImmutableSet.of("b0", "b1").contains(head.id()))
        .forEach(
            head -> cluster.await(cluster.store.delete(head.submission()).toSingleDefault(true)));
    cluster.samplers.setEventGaps(3, call -> 10);
    BatchCluster.Process after = cluster.start("a");
    cluster.advance(2_000);
    assertThat(BatchCluster.allResults(after, "b2")).hasSize(ITEMS);
    assertThat(BatchCluster.allResults(after, "b3")).hasSize(ITEMS);
  }

  /**
   * Guards against batches that wait for a VM whose row is left from before the loss and that does
   * not return; they did for 3,500 ms.
   */
  @Test
  void batchesAreNotLeftToVmsThatHaveNotReturned() {
    ImmutableList<String> names = ImmutableList.of("a", "b", "c", "d");
    List<BatchCluster.Process> processes = new ArrayList<>();
    names.forEach(name -> processes.add(cluster.start(name)));
    submitBatches(processes.get(0), BATCHES);
    processes.forEach(BatchCluster.Process::kill);
    List<String> claims = recordClaims();
    cluster.start("a"); // Returns 200 ms later.
    cluster.advance(2_500);
    assertThat(ImmutableSet.copyOf(claims)).hasSize(BATCHES);
  }

  /** Guards against a scan that sees the loss of a VM up to 500 ms after it could. */
  @Test
  void batchesOfSilentVmAreClaimedOnceItIsPresumedDead() {
    BatchCluster.Process owner = cluster.start("a");
    final BatchCluster.Process other = cluster.start("b");
    cluster.advance(5_000);
    submitBatches(owner, 1);
    owner.kill();
    List<String> claims = recordClaims();
    while (other.nodes.alive().contains(owner.incarnation)) {
      cluster.advance(10);
    }
    cluster.advance(20);
    assertThat(claims).containsExactly("b0");
  }

  /** Guards against a released batch that waits for the next scan of the others. */
  @Test
  void batchOfStoppedVmIsClaimedWhenItsRowIsRemoved() {
    BatchCluster.Process owner = cluster.start("a");
    final BatchCluster.Process other = cluster.start("b");
    cluster.advance(2_000);
    submitBatches(owner, 1);
    owner.batches.drain(0).andThen(owner.nodes.leave()).test().assertNoErrors();
    while (other.nodes.alive().contains(owner.incarnation)) {
      cluster.advance(10);
    }
    cluster.advance(20);
    assertThat(cluster.owner("b0")).hasValue(other.incarnation);
  }

  /** Guards against VMs with little processor time taking over as many batches as the others. */
  @Test
  void vmsPublishTheirCapacityAndTakeBatchesOverInProportion() {
    BatchCluster.Process lost = cluster.start("lost");
    BatchCluster.Process small = cluster.start("small");
    BatchCluster.Process large = cluster.start("large");
    small.nodes.publishCapacity(OptionalDouble.of(1e-9));
    large.nodes.publishCapacity(OptionalDouble.of(1e9));
    lost.nodes.publishCapacity(OptionalDouble.of(1e-9));
    cluster.advance(2_000);
    Row row =
        cluster.store.rows(NodeRegistry.TABLE).stream()
            .filter(each -> each.key().equals("large"))
            .findFirst()
            .orElseThrow();
    assertThat(row.value().path("capacity").asDouble()).isEqualTo(1e9);
    submitBatches(lost, BATCHES);
    lost.kill();
    cluster.advance(6_000);
    for (int i = 0; i < BATCHES; i++) {
      assertThat(cluster.owner("b" + i)).hasValue(large.incarnation);
    }
  }

  /** Guards against a VM that loads all its batches at once after the loss of all VMs. */
  @Test
  void restartedVmLoadsTwoBatchesTogether() {
    BatchCluster.Process before = cluster.start("a");
    submitBatches(before, BATCHES);
    before.kill();
    cluster.store.setObjectDelayMillis(400); // The submissions are read slowly.
    List<String> claims = recordClaims();
    cluster.start("a"); // Returns 200 ms later.
    cluster.advance(100);
    assertThat(claims).containsExactly("b0", "b1").inOrder();
    cluster.advance(400);
    assertThat(claims).containsExactly("b0", "b1", "b2", "b3").inOrder();
  }

  /** Guards against items that are lost, or listed by two VMs, after all VMs have restarted. */
  @Test
  void batchesAreCompleteAfterAllVmsRestart() {
    ImmutableList<String> names = ImmutableList.of("a", "b", "c", "d");
    List<BatchCluster.Process> processes = new ArrayList<>();
    names.forEach(name -> processes.add(cluster.start(name)));
    cluster.samplers.setEventGaps(3, call -> 1_000);
    for (int i = 0; i < BATCHES; i++) {
      processes.get(i % names.size()).submit(BatchCluster.spec("b" + i, ITEMS));
    }
    cluster.advance(500);
    processes.forEach(BatchCluster.Process::kill);
    List<BatchCluster.Process> restarted = new ArrayList<>();
    names.forEach(name -> restarted.add(cluster.start(name)));
    cluster.advance(20_000);
    for (int i = 0; i < BATCHES; i++) {
      ImmutableList<String> itemIds = itemIds(restarted.get(0), "b" + i);
      assertThat(itemIds).hasSize(ITEMS);
      assertThat(itemIds).containsNoDuplicates();
    }
    assertThat(cluster.samplers.running()).isEqualTo(0);
  }

  /**
   * Guards against two owners that both list results: one is cut off from the store in the middle
   * of a batch, its batch is taken over, and it reaches the store again.
   */
  @Test
  void ownerThatReachesTheStoreAgainListsNothingTwice() {
    BatchCluster.Process owner = cluster.start("a");
    final BatchCluster.Process other = cluster.start("b");
    cluster.samplers.setEventGaps(3, call -> 600);
    cluster.advance(5_000);
    owner.submit(BatchCluster.spec("x", 4 * ITEMS));
    cluster.advance(1_900);
    int listedBefore = BatchCluster.allResults(other, "x").size();
    assertThat(listedBefore).isGreaterThan(0);
    cluster.store.setWriteOutcomes(
        transaction -> writesAs(owner, transaction) ? WriteOutcome.REJECTED : WriteOutcome.APPLIED);
    cluster.advance(4_200);
    assertThat(cluster.owner("x")).hasValue(other.incarnation);
    cluster.store.setWriteOutcomes(transaction -> WriteOutcome.APPLIED);
    cluster.advance(20_000);
    ImmutableList<String> itemIds = itemIds(other, "x");
    assertThat(itemIds).hasSize(4 * ITEMS);
    assertThat(itemIds).containsNoDuplicates();
    assertThat(cluster.samplers.running()).isEqualTo(0);
  }

  private static ImmutableList<String> itemIds(BatchCluster.Process process, String id) {
    return BatchCluster.allResults(process, id).stream()
        .map(ItemResult::itemId)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether a transaction is a heartbeat or a listing of a process. */
  private static boolean writesAs(BatchCluster.Process process, Transaction transaction) {
    return transaction.writes().stream()
        .flatMap(write -> write.value().stream())
        .anyMatch(
            value ->
                process.incarnation.equals(value.path("owner").asText())
                    || process.incarnation.equals(value.path("incarnation").asText()));
  }

  /** Guards against batches that a node takes over beyond its memory, and against memory kept. */
  @Test
  void batchThatDoesNotFitIsRunOnceAnotherHasEnded() {
    BatchCluster.Process a = cluster.start("a");
    BatchCluster.Process b = cluster.start("b");
    assertThat(a.submit(BatchCluster.spec("x", HALF_MEMORY_ITEMS)))
        .isEqualTo(SubmitOutcome.ACCEPTED);
    assertThat(b.submit(BatchCluster.spec("y", HALF_MEMORY_ITEMS)))
        .isEqualTo(SubmitOutcome.ACCEPTED);
    b.kill();
    cluster.advance(10_000);
    assertThat(cluster.owner("y")).hasValue(a.incarnation);
    assertThat(BatchCluster.allResults(a, "y")).isEmpty();
    assertThat(a.submissionMemory.heldBytes()).isGreaterThan(0);

    assertThat(cluster.await(a.batches.end("x", BatchCluster.ORGANISATION))).isTrue();
    cluster.advance(5_000);
    assertThat(BatchCluster.allResults(a, "y")).isNotEmpty();

    assertThat(cluster.await(a.batches.end("y", BatchCluster.ORGANISATION))).isTrue();
    cluster.advance(5_000);
    assertThat(a.submissionMemory.heldBytes()).isEqualTo(0);
  }
}
