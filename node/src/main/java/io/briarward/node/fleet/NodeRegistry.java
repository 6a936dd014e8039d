package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.platform.TableService;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Which processes are alive, by rows that each of them renews in the store.
 *
 * <p>A row that did not change for a while belongs to a process that is thought dead. While the
 * store does not answer nobody is. Confined to the event loop.
 */
public final class NodeRegistry implements AutoCloseable {
  /** The table with a row for each node. */
  public static final String TABLE = "nodes";

  private static final long HEARTBEAT_MILLIS = 1_000;

  private static final long BEAT_TIMEOUT_MILLIS = 1_000; // The next one is due then.

  /** Three missed heartbeats and the time in which a row travels. */
  private static final long DEAD_AFTER_MILLIS = 3_500;

  /** The age of the last answer of the store above which it says nothing of others. */
  private static final long STALE_MILLIS = 2_000;

  /** Bounds the calls for changes; heartbeats that come together are read together. */
  private static final long FEED_PAUSE_MILLIS = 500;

  private final TableService tables;
  private final Scheduler scheduler;
  private final EventLog log;
  private final RowKey key;
  private final String incarnation;
  private final Map<String, Peer> peers = new HashMap<>();
  private TableWatch watch;
  private Disposable beating = Disposable.disposed();
  private long beats;
  private long beatenAtMillis = Long.MIN_VALUE / 2;
  private long beatingSinceMillis = Long.MAX_VALUE / 2;
  private boolean sending;

  private record Peer(String incarnation, long seenAtMillis) {}

  private NodeRegistry(
      TableService tables, Scheduler scheduler, EventLog log, String name, String incarnation) {
    this.tables = checkNotNull(tables, "tables");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.key = RowKey.of(TABLE, name);
    this.incarnation = checkNotNull(incarnation, "incarnation");
  }

  /**
   * Starts to renew this process's row and to follow the others'.
   *
   * @param name the VM, which replaces its row when it starts again
   * @param incarnation unique to this process
   */
  public static NodeRegistry start(
      TableService tables,
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String name,
      String incarnation) {
    NodeRegistry registry = new NodeRegistry(tables, scheduler, log, name, incarnation);
    registry.watch =
        TableWatch.start(feed, scheduler, log, TABLE, FEED_PAUSE_MILLIS, registry.listener());
    registry.beating = Timers.nowAndEvery(scheduler, HEARTBEAT_MILLIS, registry::beat);
    return registry;
  }

  /** Returns the incarnations that are thought alive, this one among them. */
  public ImmutableSet<String> alive() {
    long sinceMillis = nowMillis() - DEAD_AFTER_MILLIS;
    ImmutableSet.Builder<String> alive = ImmutableSet.builder();
    alive.add(incarnation);
    peers.values().stream()
        .filter(peer -> peer.seenAtMillis() > sinceMillis)
        .forEach(peer -> alive.add(peer.incarnation()));
    return alive.build();
  }

  /**
   * Returns whether {@link #alive} says something of others.
   *
   * <p>The store may take no heartbeats while it answers everything else, so one of this process's
   * own must have been taken of late. After an outage the others get the time to renew theirs.
   */
  public boolean reliable() {
    return watch.ageMillis() < STALE_MILLIS
        && nowMillis() - beatenAtMillis < STALE_MILLIS
        && nowMillis() - beatingSinceMillis > DEAD_AFTER_MILLIS;
  }

  /** Returns whether another process runs on the VM of an incarnation by now. */
  public boolean replaced(String otherIncarnation) {
    Peer now = peers.get(Incarnations.vm(otherIncarnation));
    return now != null
        && !now.incarnation().equals(otherIncarnation)
        && Incarnations.sameVm(now.incarnation(), otherIncarnation);
  }

  /** Returns how old the last answer of the store is. */
  public long storeAgeMillis() {
    return watch.ageMillis();
  }

  /** Returns whether the store's clock is known. */
  public boolean clockKnown() {
    return watch.clockKnown();
  }

  /** Returns the time of the store's clock, once it is known. */
  public long storeMillis() {
    return watch.storeMillis();
  }

  /** Removes this process's row, so that others take over at once. */
  public Completable leave() {
    beating.dispose();
    return tables
        .commit(Transaction.builder().delete(key).build())
        .ignoreElement()
        .doOnError(error -> log.warn("leave-failed", "cause", error.toString()))
        .onErrorComplete();
  }

  @Override
  public void close() {
    beating.dispose();
    watch.close();
  }

  private TableWatch.Listener listener() {
    return new TableWatch.Listener() {
      @Override
      public void onSnapshot(ImmutableList<Row> rows) {
        peers.clear();
        rows.forEach(row -> onRow(row));
      }

      @Override
      public void onChanges(ImmutableList<Change> changes) {
        for (Change change : changes) {
          change.row().ifPresentOrElse(row -> onRow(row), () -> peers.remove(change.key()));
        }
      }
    };
  }

  private void onRow(Row row) {
    peers.put(row.key(), new Peer(row.value().path("incarnation").asText(), nowMillis()));
  }

  private void beat() {
    if (sending) {
      return;
    }
    sending = true;
    beats++;
    Transaction transaction =
        Transaction.builder()
            .put(
                key,
                JsonNodeFactory.instance
                    .objectNode()
                    .put("incarnation", incarnation)
                    .put("beats", beats))
            .build();
    var unused =
        tables
            .commit(transaction)
            .timeout(BEAT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
            .observeOn(scheduler)
            .doFinally(() -> sending = false)
            .subscribe(
                result -> onBeaten(),
                error -> log.info("heartbeat-failed", "beat", beats, "cause", error.toString()));
  }

  private void onBeaten() {
    if (nowMillis() - beatenAtMillis >= STALE_MILLIS) {
      beatingSinceMillis = nowMillis();
    }
    beatenAtMillis = nowMillis();
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
