package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.platform.CommitResult;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.testing.MemoryStore;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class BatchStoreTest {
  private static final int LONG_OUTPUT_CHARACTERS = 400_000;
  private static final int RESULTS = 10;

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore store = MemoryStore.create(scheduler);
  private final BatchStore batches = new BatchStore(scheduler, store, store);

  /** Guards against a page for which one reader makes a node load many megabytes. */
  @Test
  void pageReadsNoMoreLongResultsThanOneResponseHolds() {
    BatchHead head =
        new BatchHead(
            "b1",
            "mill",
            "s",
            BatchCluster.TERMS,
            Optional.empty(),
            RESULTS,
            0,
            false,
            Optional.of("other"),
            0,
            "t0");
    StoredHead stored =
        StoredHead.written(head, (CommitResult.Committed) await(batches.insert(head)));
    ImmutableList<JsonNode> rows =
        IntStream.range(0, RESULTS)
            .mapToObj(i -> new ItemResult("i" + i, true, output(i), ImmutableList.of(1L)))
            .map(result -> await(batches.toRow("b1", result)))
            .collect(ImmutableList.toImmutableList());
    await(batches.replace(stored, head.withListed(RESULTS, "t1"), rows));

    assertThat(itemIds(0)).containsExactly("i0", "i1").inOrder();
    assertThat(itemIds(2)).containsExactly("i2", "i3").inOrder();
    assertThat(itemIds(9)).containsExactly("i9");
  }

  private static String output(int position) {
    return Integer.toString(position).repeat(LONG_OUTPUT_CHARACTERS);
  }

  private ImmutableList<String> itemIds(int from) {
    return await(batches.results("b1", from)).stream()
        .map(ItemResult::itemId)
        .collect(ImmutableList.toImmutableList());
  }

  private <T> T await(Single<T> call) {
    TestObserver<T> observer = call.test();
    scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
    return observer.assertComplete().values().get(0);
  }
}
