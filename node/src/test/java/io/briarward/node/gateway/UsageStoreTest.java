package io.briarward.node.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import io.briarward.node.testing.MemoryStore;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests windows in which more processes counted than one call reads or deletes. */
class UsageStoreTest {
  private static final int PROCESSES = 600;
  private static final long WINDOW = 7;

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore memory = MemoryStore.create(scheduler);
  private final UsageStore store = new UsageStore(memory);

  private <T> T await(Single<T> call) {
    TestObserver<T> observer = call.test();
    for (int i = 0; i < 1_000 && observer.values().isEmpty(); i++) {
      observer.assertNoErrors();
      scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
    }
    return observer.values().get(0);
  }

  @BeforeEach
  void putCounts() {
    for (int i = 0; i < PROCESSES; i++) {
      var unused = await(store.putCounts(WINDOW, "process-" + i, ImmutableMap.of("mill", 2L)));
    }
  }

  @Test
  void frozenFiguresSumTheCountsOfAllProcesses() {
    assertThat(await(store.freeze(WINDOW))).containsExactly("mill", 2L * PROCESSES);
  }

  @Test
  void removedWindowLeavesNoRows() {
    await(store.freeze(WINDOW));
    var unused = await(store.remove(WINDOW));
    assertThat(memory.rows("usage-counts")).isEmpty();
    assertThat(memory.rows("usage-frozen")).isEmpty();
  }

  /** The first page that the store cut ended the removal, so the window's other rows stayed. */
  @Test
  void removedWindowOfManyOrganisationsLeavesNoRows() {
    ImmutableMap<String, Long> counts =
        IntStream.range(0, 1_000)
            .boxed()
            .collect(ImmutableMap.toImmutableMap(i -> "organisation-" + i, i -> 1_000_000L));
    for (int i = 0; i < 40; i++) {
      var unused = await(store.putCounts(WINDOW + 1, "process-" + i, counts));
    }
    assertThat(await(store.freeze(WINDOW + 1))).containsEntry("organisation-7", 40_000_000L);
    var unused = await(store.remove(WINDOW + 1));
    assertThat(memory.rows("usage-counts")).hasSize(PROCESSES);
  }
}
