package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.Row;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.MemoryStore;
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
}
