package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.lease.Backoff;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.StoreClock;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.platform.ChangeFeed.HistoryLostException;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Follows one table of the store: passes a snapshot of it to a listener, then every change.
 *
 * <p>After a gap in the change history, it reads a new snapshot. Confined to the event loop.
 */
public final class TableWatch implements AutoCloseable {
  /** The maximum time for which the store delays its response while nothing changes. */
  private static final long LONG_POLL_MILLIS = 1_500;

  /** The time beyond {@link #LONG_POLL_MILLIS} after which a connection is treated as lost. */
  private static final long LONG_POLL_GRACE_MILLIS = 1_000;

  /** Twenty times the usual response time. */
  private static final long CLOCK_TIMEOUT_MILLIS = 500;

  private static final Backoff BACKOFF = new Backoff(100, 500);

  private final ChangeFeed feed;
  private final Scheduler scheduler;
  private final EventLog log;
  private final String table;
  private final LongSupplier pauseMillis;
  private final Listener listener;
  private final LongSupplier steadyMillis;
  private final StoreClock clock = StoreClock.create();
  private final StoreClock steadyClock = StoreClock.create();
  private Disposable pending = Disposable.disposed();
  private long version = -1;
  private int failures;
  private long polledAtMillis;
  private long polledAtSteadyMillis;

  /** Receives the rows of a table. Called on the event loop. */
  public interface Listener {
    /** Handles all rows of the table; called again after a gap in the change history. */
    void onSnapshot(ImmutableList<Row> rows);

    /** Handles changes, given in their order. */
    void onChanges(ImmutableList<Change> changes);

    /** Handles the first response of the store after failed calls; called before its rows. */
    default void onStoreRecovered() {}
  }

  private TableWatch(
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String table,
      LongSupplier pauseMillis,
      LongSupplier steadyMillis,
      Listener listener) {
    this.feed = checkNotNull(feed, "feed");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.table = checkNotNull(table, "table");
    this.pauseMillis = checkNotNull(pauseMillis, "pauseMillis");
    this.steadyMillis = checkNotNull(steadyMillis, "steadyMillis");
    this.listener = checkNotNull(listener, "listener");
  }

  /**
   * Starts to follow a table.
   *
   * @param pauseMillis the pause after each response with changes, which bounds the rate of calls
   */
  public static TableWatch start(
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String table,
      long pauseMillis,
      Listener listener) {
    return start(feed, scheduler, log, table, () -> pauseMillis, listener);
  }

  /**
   * Starts to follow a table with a varying pause.
   *
   * @param pauseMillis returns the pause after a response with changes, which bounds the rate of
   *     calls
   */
  public static TableWatch start(
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String table,
      LongSupplier pauseMillis,
      Listener listener) {
    TableWatch watch =
        new TableWatch(
            feed,
            scheduler,
            log,
            table,
            pauseMillis,
            () -> scheduler.now(TimeUnit.MILLISECONDS),
            listener);
    watch.poll();
    return watch;
  }

  /**
   * Starts to follow a table whose responses also bound the store's clock.
   *
   * @param pauseMillis the pause after each response with changes, which bounds the rate of calls
   * @param steadyMillis a clock that is never ahead of the time that has passed, see {@link
   *     #storeMillis}
   */
  public static TableWatch start(
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      String table,
      long pauseMillis,
      LongSupplier steadyMillis,
      Listener listener) {
    TableWatch watch =
        new TableWatch(feed, scheduler, log, table, () -> pauseMillis, steadyMillis, listener);
    watch.poll();
    return watch;
  }

  /** Returns whether a snapshot was read and no gap in the change history followed it. */
  public boolean known() {
    return version >= 0;
  }

  /**
   * Returns the age of the last response of the store, counted from when the store sent it, or
   * {@link Long#MAX_VALUE} if no snapshot is known.
   */
  public long ageMillis() {
    return known() ? clock.readingAgeMillis(nowMillis()) : Long.MAX_VALUE;
  }

  /**
   * Reads the changes that were not passed to the listener yet, as of a time after the call.
   *
   * <p>They are passed to the listener apart from this. Fails with an {@link IllegalStateException}
   * if no snapshot is known, or with the feed's error.
   */
  public Single<ImmutableList<Change>> unseenChanges() {
    if (!known()) {
      return Single.error(new IllegalStateException("no snapshot of table " + table));
    }
    return feed.changes(table, version, 0).map(ChangeFeed.Changes::changes);
  }

  /** Returns whether the store has responded at least once, so that its clock is known. */
  public boolean clockKnown() {
    return clock.known();
  }

  /**
   * Returns the earliest time that the store's clock may show, so that whatever waits for a time
   * happens late rather than early; valid only if {@link #clockKnown}.
   *
   * <p>It is timed by the steady clock, since the scheduler's one counts a time of day that was set
   * ahead as time that has passed.
   */
  public long storeMillis() {
    return steadyClock.earliestMillis(steadyMillis.getAsLong());
  }

  /**
   * Returns the latest time that the store's clock may show, for times that are stored; valid only
   * if {@link #clockKnown}.
   *
   * <p>It is too early for a while after a suspension of the VM that the scheduler's clock does not
   * count; see {@link #readClock}.
   */
  public long latestStoreMillis() {
    return clock.latestMillis(nowMillis());
  }

  /**
   * Reads the store's clock; valid only if {@link #clockKnown}.
   *
   * <p>The time is not before this call, even if the VM has just been suspended. Returns {@link
   * #latestStoreMillis} if the store does not respond.
   */
  public Single<Long> readClock() {
    if (!known()) {
      return Single.just(latestStoreMillis());
    }
    return withTimeout(feed.changes(table, version, 0), CLOCK_TIMEOUT_MILLIS)
        .map(ChangeFeed.Changes::clockMillis)
        .onErrorReturn(
            error -> {
              log.warn("store-clock-not-read", "table", table, "cause", error.toString());
              return latestStoreMillis();
            });
  }

  @Override
  public void close() {
    pending.dispose();
  }

  private void poll() {
    polledAtMillis = nowMillis();
    polledAtSteadyMillis = steadyMillis.getAsLong();
    long timeoutMillis = LONG_POLL_MILLIS + LONG_POLL_GRACE_MILLIS;
    if (known()) {
      pending =
          withTimeout(feed.changes(table, version, LONG_POLL_MILLIS), timeoutMillis)
              .subscribe(this::onChanges, this::onFailure);
    } else {
      pending =
          withTimeout(feed.snapshot(table), timeoutMillis)
              .subscribe(this::onSnapshot, this::onFailure);
    }
  }

  private <T> Single<T> withTimeout(Single<T> call, long timeoutMillis) {
    return call.timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler).observeOn(scheduler);
  }

  private void onSnapshot(ChangeFeed.Snapshot snapshot) {
    recordContact(snapshot.clockMillis());
    version = snapshot.version();
    log.info("table-read", "table", table, "version", version, "rows", snapshot.rows().size());
    deliver(() -> listener.onSnapshot(snapshot.rows()), 0);
  }

  private void onChanges(ChangeFeed.Changes changes) {
    recordContact(changes.clockMillis());
    version = Math.max(version, changes.version());
    if (changes.changes().isEmpty()) {
      schedulePoll(0);
      return;
    }
    deliver(() -> listener.onChanges(changes.changes()), pauseMillis.getAsLong());
  }

  /**
   * Passes rows to the listener, whose failure must not end the watch, and polls again.
   *
   * <p>The subscription passes no error of the virtual machine to {@link #onFailure}. Those that
   * say nothing about the process as a whole are handled here; the watch outlasts the others.
   */
  private void deliver(Runnable rows, long delayMillis) {
    try {
      rows.run();
    } catch (RuntimeException | StackOverflowError | LinkageError e) {
      log.warn("table-rows-failed", "table", table, "version", version, "cause", e.toString());
    } finally {
      schedulePoll(delayMillis);
    }
  }

  private void onFailure(Throwable cause) {
    if (cause instanceof HistoryLostException) {
      log.warn("history-lost", "table", table, "version", version);
      version = -1;
      schedulePoll(0);
      return;
    }
    if (failures == 0) {
      log.warn("store-lost", "table", table, "version", version, "cause", cause.toString());
    }
    failures++;
    schedulePoll(BACKOFF.delayMillis(failures));
  }

  private void recordContact(long clockMillis) {
    clock.onReading(polledAtMillis, nowMillis(), clockMillis);
    steadyClock.onReading(polledAtSteadyMillis, steadyMillis.getAsLong(), clockMillis);
    if (failures > 0) {
      log.info("store-regained", "table", table, "version", version, "failures", failures);
      failures = 0;
      listener.onStoreRecovered();
    }
  }

  private void schedulePoll(long delayMillis) {
    pending = scheduler.scheduleDirect(this::poll, delayMillis, TimeUnit.MILLISECONDS);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
