package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.platform.Transaction;
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
}
