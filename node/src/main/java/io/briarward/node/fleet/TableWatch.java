package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.lease.Backoff;
import io.briarward.core.platform.Row;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.platform.ChangeFeed.HistoryLostException;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;

/**
 * Follows one table of the store: a snapshot first, then every change.
 *
 * <p>After a gap in the history it reads a snapshot again. Confined to the event loop.
 */
public final class TableWatch implements AutoCloseable {
  /** How long the store may hold a call back when nothing changes. */
  private static final long WAIT_MILLIS = 1_500;

  /** How long a call may take beyond the wait until its connection counts as dead. */
  private static final long GRACE_MILLIS = 1_000;

  private static final Backoff BACKOFF = new Backoff(100, 500);

  private final ChangeFeed feed;
  private final Scheduler scheduler;
  private final EventLog log;
  private final String table;
  private final long pauseMillis;
  private final Listener listener;
  private Disposable pending = Disposable.disposed();
  private long version = -1;
  private int failures;
  private long lastContactMillis = Long.MIN_VALUE;
  private long clockOffsetMillis;

  /** Learns what a table holds. */
  public interface Listener {
    /** Takes the whole table, also again after a gap. */
    void onSnapshot(ImmutableList<Row> rows);

    /** Takes changes in order. */
    void onChanges(ImmutableList<Change> changes);

    /** Learns that the store answers again after it did not. */
    default void onRegained() {}
  }

  private TableWatch(
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String table,
      long pauseMillis,
      Listener listener) {
    this.feed = checkNotNull(feed, "feed");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.table = checkNotNull(table, "table");
    this.pauseMillis = pauseMillis;
    this.listener = checkNotNull(listener, "listener");
  }

  /**
   * Starts to follow a table.
   *
   * @param pauseMillis the pause after each change, which bounds the number of calls
   */
  public static TableWatch start(
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String table,
      long pauseMillis,
      Listener listener) {
    TableWatch watch = new TableWatch(feed, scheduler, log, table, pauseMillis, listener);
    watch.call();
    return watch;
  }

  /** Returns whether a snapshot was read. */
  public boolean known() {
    return version >= 0;
  }

  /** Returns how old the last answer of the store is. */
  public long ageMillis() {
    return known() ? nowMillis() - lastContactMillis : Long.MAX_VALUE;
  }

  /** Returns whether the store ever answered, so that its clock is known. */
  public boolean clockKnown() {
    return lastContactMillis != Long.MIN_VALUE;
  }

  /** Returns the time of the store's clock, as known from its last answer. */
  public long storeMillis() {
    return nowMillis() + clockOffsetMillis;
  }

  @Override
  public void close() {
    pending.dispose();
  }

  private void call() {
    long timeoutMillis = WAIT_MILLIS + GRACE_MILLIS;
    if (known()) {
      pending =
          bounded(feed.changes(table, version, WAIT_MILLIS), timeoutMillis)
              .subscribe(this::onChanges, this::onFailure);
    } else {
      pending =
          bounded(feed.snapshot(table), timeoutMillis).subscribe(this::onSnapshot, this::onFailure);
    }
  }

  private <T> Single<T> bounded(Single<T> call, long timeoutMillis) {
    return call.timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler).observeOn(scheduler);
  }

  private void onSnapshot(ChangeFeed.Snapshot snapshot) {
    contact(snapshot.clockMillis());
    version = snapshot.version();
    log.info("table-read", "table", table, "version", version, "rows", snapshot.rows().size());
    listener.onSnapshot(snapshot.rows());
    callAfter(0);
  }

  private void onChanges(ChangeFeed.Changes changes) {
    contact(changes.clockMillis());
    version = Math.max(version, changes.version());
    if (changes.changes().isEmpty()) {
      callAfter(0);
      return;
    }
    listener.onChanges(changes.changes());
    callAfter(pauseMillis);
  }

  private void onFailure(Throwable cause) {
    if (cause instanceof HistoryLostException) {
      log.warn("history-lost", "table", table, "version", version);
      version = -1;
      callAfter(0);
      return;
    }
    if (failures == 0) {
      log.warn("store-lost", "table", table, "version", version, "cause", cause.toString());
    }
    failures++;
    callAfter(BACKOFF.delayMillis(failures));
  }

  private void contact(long clockMillis) {
    lastContactMillis = nowMillis();
    clockOffsetMillis = clockMillis - lastContactMillis;
    if (failures > 0) {
      log.info("store-regained", "table", table, "version", version, "failures", failures);
      failures = 0;
      listener.onRegained();
    }
  }

  private void callAfter(long delayMillis) {
    pending = scheduler.scheduleDirect(this::call, delayMillis, TimeUnit.MILLISECONDS);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
