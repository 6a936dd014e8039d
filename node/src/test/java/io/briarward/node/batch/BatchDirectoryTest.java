package io.briarward.node.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.platform.CommitResult;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.MemoryStore;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against nodes that read every listing of every batch while nobody asks them for one. */
final class BatchDirectoryTest {
  private static final String BATCH = "b1";
  private static final long LISTING_INTERVAL_MILLIS = 40;
  private static final long IDLE_PAUSE_MILLIS = 200;

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore store = MemoryStore.create(scheduler);
  private final BatchStore batches = new BatchStore(scheduler, store, store);
  private BatchDirectory directory;
  private StoredHead head;
  private int reads;

  @BeforeEach
  void start() {
    ChangeFeed counted =
        new ChangeFeed() {
          @Override
          public Single<Snapshot> snapshot(String table) {
            return store.snapshot(table);
          }

          @Override
          public Single<Changes> changes(String table, long afterVersion, long waitMillis) {
            reads++;
            return store.changes(table, afterVersion, waitMillis);
          }
        };
    directory =
        BatchDirectory.start(
            counted, scheduler, EventLog.create(scheduler), batches, () -> IDLE_PAUSE_MILLIS);
    BatchHead first =
        new BatchHead(
            BATCH,
            "mill",
            "s",
            BatchCluster.TERMS,
            Optional.empty(),
            1_000,
            0,
            false,
            Optional.of("other"),
            0,
            "t0");
    var unused =
        batches
            .insert(first)
            .subscribe(result -> head = StoredHead.written(first, (CommitResult.Committed) result));
    advance(100);
  }

  /** Lists a result each {@value #LISTING_INTERVAL_MILLIS} ms for a second. */
  private int readsWhileListing() {
    final int before = reads;
    for (int i = 0; i < 1_000 / LISTING_INTERVAL_MILLIS; i++) {
      BatchHead next = head.head().withListed(1, "t" + (head.head().listed() + 1));
      var unused =
          batches
              .replace(head, next, ImmutableList.of())
              .subscribe(
                  result -> head = StoredHead.written(next, (CommitResult.Committed) result));
      advance(LISTING_INTERVAL_MILLIS);
    }
    return reads - before;
  }

  private void advance(long millis) {
    scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
  }

  @Test
  void pausesLongerWhileNoCallerWaits() {
    assertThat(readsWhileListing()).isAtMost(6);
  }

  @Test
  void readsOnWhileCallerWaitsForResults() {
    final TestObserver<BatchHead> waiting = directory.awaitListed(BATCH, 900, 5_000).test();
    assertThat(readsWhileListing()).isAtLeast(12);
    waiting.dispose();
    advance(IDLE_PAUSE_MILLIS);
    assertThat(readsWhileListing()).isAtMost(6);
  }

  @Test
  void idleNodeKnowsNewestHeadWithinItsPause() {
    readsWhileListing();
    advance(IDLE_PAUSE_MILLIS);
    assertThat(directory.cachedHead(BATCH).orElseThrow().head().listed())
        .isEqualTo(head.head().listed());
  }
}
