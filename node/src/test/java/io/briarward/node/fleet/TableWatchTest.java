package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Range;
import io.briarward.core.platform.Row;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.MemoryStore;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TableWatchTest {
  private static final String TABLE = "upstreams";

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore store = MemoryStore.create(scheduler);
  private final List<String> keys = new ArrayList<>();

  private void put(String key) {
    store.put(TABLE, key, JsonNodeFactory.instance.objectNode());
    scheduler.advanceTimeBy(500, TimeUnit.MILLISECONDS);
  }

  private void add(Row row) {
    if (row.key().equals("bad")) {
      throw new IllegalStateException("a defect in the handling of one row");
    }
    if (row.key().equals("deep")) {
      throw new StackOverflowError("a value that is nested too deeply");
    }
    keys.add(row.key());
  }

  private TableWatch.Listener listener() {
    return new TableWatch.Listener() {
      @Override
      public void onSnapshot(ImmutableList<Row> rows) {
        rows.forEach(row -> add(row));
      }

      @Override
      public void onChanges(ImmutableList<Change> changes) {
        changes.forEach(change -> change.row().ifPresent(row -> add(row)));
      }
    };
  }

  /** A watch that ended with the first defect would never see another configuration. */
  @Test
  void watchGoesOnAfterItsListenerFailed() {
    put("a");
    try (TableWatch watch =
        TableWatch.start(store, scheduler, EventLog.create(scheduler), TABLE, 20, listener())) {
      scheduler.advanceTimeBy(500, TimeUnit.MILLISECONDS);
      put("bad");
      put("b");
      assertThat(keys).containsExactly("a", "b").inOrder();
      assertThat(watch.known()).isTrue();
    }
  }

  /** Errors of the virtual machine pass through the subscription and ended the watch silently. */
  @Test
  void watchGoesOnAfterItsListenerOverflowedTheStack() {
    put("a");
    try (TableWatch watch =
        TableWatch.start(store, scheduler, EventLog.create(scheduler), TABLE, 20, listener())) {
      scheduler.advanceTimeBy(500, TimeUnit.MILLISECONDS);
      try {
        put("deep");
      } catch (StackOverflowError e) {
        assertThat(e).hasMessageThat().contains("nested");
      }
      put("b");
      assertThat(keys).containsExactly("a", "b").inOrder();
      assertThat(watch.known()).isTrue();
    }
  }

  private TableWatch.Listener recordChanges() {
    return new TableWatch.Listener() {
      @Override
      public void onSnapshot(ImmutableList<Row> rows) {}

      @Override
      public void onChanges(ImmutableList<Change> changes) {
        changes.forEach(change -> keys.add(change.key()));
      }
    };
  }

  private TableWatch start() {
    TableWatch watch =
        TableWatch.start(store, scheduler, EventLog.create(scheduler), TABLE, 500, recordChanges());
    scheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
    return watch;
  }

  /** Items of batches that were accepted meanwhile were given up too early. */
  @Test
  void responseThatIsHandledLateDoesNotSetTheClockBack() {
    try (TableWatch watch = start()) {
      store.setFeedDelayMillis(1_800);
      for (int i = 0; i < 1_000; i++) {
        if (i % 50 == 0) {
          store.put(TABLE, "a", JsonNodeFactory.instance.objectNode());
        }
        scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
        assertThat(watch.storeMillis())
            .isIn(Range.closed(store.clockMillis() - 20, store.clockMillis()));
        assertThat(watch.latestStoreMillis())
            .isIn(Range.closed(store.clockMillis(), store.clockMillis() + 20));
      }
    }
  }

  /** A node that woke from a freeze took what it knew for fresh. */
  @Test
  void ageOfResponseThatIsHandledLateCountsFromWhenItWasSent() {
    try (TableWatch watch = start()) {
      store.setFeedDelayMillis(1_800);
      put("a");
      scheduler.advanceTimeBy(1_320, TimeUnit.MILLISECONDS);
      assertThat(keys).containsExactly("a");
      assertThat(watch.ageMillis()).isAtLeast(1_790);
    }
  }

  @Test
  void watchGoesOnAfterItsListenerOverflowedTheStackOnTheSnapshot() {
    put("deep");
    try (TableWatch watch =
        TableWatch.start(store, scheduler, EventLog.create(scheduler), TABLE, 20, listener())) {
      try {
        scheduler.advanceTimeBy(500, TimeUnit.MILLISECONDS);
      } catch (StackOverflowError e) {
        assertThat(e).hasMessageThat().contains("nested");
      }
      put("b");
      assertThat(keys).containsExactly("b");
      assertThat(watch.known()).isTrue();
    }
  }

  @Test
  void clockIsReadAnewAfterSuspension() {
    try (TableWatch watch = start()) {
      store.advanceClock(5_000);
      long sentAtMillis = store.clockMillis();
      TestObserver<Long> reading = watch.readClock().test();
      scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      assertThat(reading.values().get(0)).isIn(Range.closed(sentAtMillis, store.clockMillis()));
    }
  }

  @Test
  void clockIsEstimatedWhileStoreDoesNotRespond() {
    try (TableWatch watch = start()) {
      store.setDown(true);
      TestObserver<Long> reading = watch.readClock().test();
      scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      assertThat(reading.values().get(0)).isAtLeast(store.clockMillis() - 10);
    }
  }
}
