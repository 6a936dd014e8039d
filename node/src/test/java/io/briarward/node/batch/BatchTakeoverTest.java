package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.Transaction;
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
    before.kill();
    cluster.advance(BatchCluster.TERMS.maxWaitMillis() - 2_500);
    BatchCluster.Process second = cluster.start("c");
    second.submit(BatchCluster.spec("fresh", ITEMS));
    second.kill();
    List<String> claims = recordClaims();
    cluster.start("a");
    cluster.start("c");
    cluster.advance(5_000);
    assertThat(claims).containsAtLeast("b1", "b0").inOrder();
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
    cluster.advance(2_000);
    assertThat(ImmutableSet.copyOf(claims)).hasSize(BATCHES);
  }

  /** Guards against a scan that sees the loss of a VM up to 500 ms after it could. */
  @Test
  void batchesOfSilentVmAreClaimedOnceItIsPresumedDead() {
    BatchCluster.Process owner = cluster.start("a");
    BatchCluster.Process other = cluster.start("b");
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
  void releasedBatchIsClaimedAtOnce() {
    BatchCluster.Process owner = cluster.start("a");
    cluster.start("b");
    cluster.advance(2_000);
    owner.submit(BatchCluster.spec("x", ITEMS));
    cluster.advance(100);
    cluster.samplers.setEventGaps(100, call -> 1_000);
    List<String> claims = recordClaims();
    var unused = owner.batches.drain(0).subscribe();
    cluster.advance(200);
    assertThat(claims).contains("x");
  }

  /** Guards against VMs with little processor time taking over as many batches as the others. */
  @Test
  void vmsPublishTheirCapacityAndTakeBatchesOverInProportion() {
    BatchCluster.Process lost = cluster.start("lost");
    BatchCluster.Process small = cluster.start("small");
    BatchCluster.Process large = cluster.start("large");
    small.nodes.publishCapacity(OptionalDouble.of(0.01));
    large.nodes.publishCapacity(OptionalDouble.of(10));
    lost.nodes.publishCapacity(OptionalDouble.of(0.01));
    cluster.advance(2_000);
    Row row =
        cluster.store.rows(NodeRegistry.TABLE).stream()
            .filter(each -> each.key().equals("large"))
            .findFirst()
            .orElseThrow();
    assertThat(row.value().path("capacity").asDouble()).isEqualTo(10.0);
    submitBatches(lost, BATCHES);
    lost.kill();
    cluster.advance(6_000);
    for (int i = 0; i < BATCHES; i++) {
      assertThat(cluster.owner("b" + i)).hasValue(large.incarnation);
    }
  }
}
