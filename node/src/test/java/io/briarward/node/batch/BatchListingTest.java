package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.platform.Transaction;
import io.briarward.node.batch.BatchService.SubmitOutcome;
import io.briarward.node.testing.FakeFleetDecoder;
import io.briarward.node.testing.MemoryStore.WriteOutcome;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests that an owner lists no item again that the stored head lists already. */
class BatchListingTest {
  private static final int ITEMS = 32;

  private final BatchCluster cluster = new BatchCluster();

  private static boolean writesTo(Transaction transaction, String table) {
    return transaction.writes().stream().anyMatch(write -> write.row().table().equals(table));
  }

  private static boolean writesOnlyHead(Transaction transaction) {
    return writesTo(transaction, BatchStore.HEADS_TABLE)
        && !writesTo(transaction, BatchStore.RESULTS_TABLE);
  }

  private static boolean insertsHead(Transaction transaction) {
    return writesOnlyHead(transaction)
        && transaction.conditions().stream()
            .anyMatch(condition -> condition.version() == Transaction.ABSENT);
  }

  /** Lets the items end one after another, so that the batch is listed in several parts. */
  private void spreadItems() {
    AtomicInteger calls = new AtomicInteger();
    cluster.samplers.setEventGaps(3, call -> 40 + 20 * (calls.getAndIncrement() % 16));
  }

  private void assertEachItemIsListedOnce(BatchCluster.Process process) {
    ImmutableList<ItemResult> results = BatchCluster.allResults(process, "x");
    assertThat(results.stream().map(ItemResult::itemId).toList()).containsNoDuplicates();
    assertThat(results).hasSize(ITEMS);
  }

  /**
   * Guards against items listed twice by an owner whose release fails while a listing of its own is
   * applied late: it read the listed ids before that listing was applied.
   */
  @Test
  void ownerWhoseReleaseFailedKnowsListingThatIsAppliedLate() {
    cluster.samplers.setEventGaps(
        3, call -> cluster.samplers.calls().size() > ITEMS / 4 ? 250 : 40);
    BatchCluster.Process a = cluster.start("a");
    final BatchCluster.Process b = cluster.start("b");
    a.submit(BatchCluster.spec("x", ITEMS));
    AtomicInteger listings = new AtomicInteger();
    AtomicInteger releases = new AtomicInteger();
    cluster.store.setWriteOutcomes(
        transaction -> {
          if (writesTo(transaction, BatchStore.RESULTS_TABLE)) {
            return listings.getAndIncrement() == 0 ? WriteOutcome.DELAYED : WriteOutcome.APPLIED;
          }
          return writesTo(transaction, BatchStore.HEADS_TABLE) && releases.getAndIncrement() == 0
              ? WriteOutcome.REJECTED
              : WriteOutcome.APPLIED;
        });
    cluster.advance(50);
    a.setCutOff(true);
    while (releases.get() == 0) {
      cluster.advance(10);
    }
    assertThat(listings.get()).isEqualTo(1);
    a.setCutOff(false);
    cluster.store.put(
        new FakeFleetDecoder().upstreamTable(), "s3", FakeFleetDecoder.samplerRow(1, false));
    cluster.advance(20_000);
    assertEachItemIsListedOnce(b);
  }

  /**
   * Guards against two owners of one batch in one process: the feed tells of an accepted batch
   * before the store's response to the insert arrives.
   */
  @Test
  void batchWhoseInsertIsAnsweredLateHasOneOwner() {
    spreadItems();
    BatchCluster.Process a = cluster.start("a");
    cluster.store.setWriteOutcomes(
        transaction ->
            insertsHead(transaction) ? WriteOutcome.RESPONSE_DELAYED : WriteOutcome.APPLIED);
    assertThat(a.submit(BatchCluster.spec("x", ITEMS))).isEqualTo(SubmitOutcome.ACCEPTED);
    cluster.advance(20_000);
    assertEachItemIsListedOnce(a);
    assertThat(
            cluster.samplers.calls().stream().filter(call -> call.resumeAfter().isEmpty()).toList())
        .hasSize(ITEMS);
  }
}
