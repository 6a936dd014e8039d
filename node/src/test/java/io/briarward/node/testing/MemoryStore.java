package io.briarward.node.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.platform.TableState;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ObjectStore;
import io.briarward.node.platform.PlatformException;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.PublishSubject;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * An in-memory store in virtual time.
 *
 * <p>It simulates outages, rejected writes, lost responses and writes that are applied late.
 */
public final class MemoryStore implements TableService, ChangeFeed, ObjectStore {
  /** How the store handles a write. */
  public enum WriteOutcome {
    /** The write is applied, and its response is delivered. */
    APPLIED,
    /** The write is not applied, and the caller receives an error that says so. */
    REJECTED,
    /** The write is applied, but its response is lost. */
    RESPONSE_LOST,
    /** The write is applied, and its response is delivered a second later. */
    RESPONSE_DELAYED,
    /** The response is lost; the write is applied a second later if its conditions still hold. */
    DELAYED
  }

  private static final long RESPONSE_DELAY_MILLIS = 4;
  private static final long CLOCK_OFFSET_MILLIS = 1_000_000;
  private static final long WRITE_DELAY_MILLIS = 1_000;
  private static final int MAX_TRANSACTION_ENTRIES = 100;

  /** The largest size of a transaction's values, Base64-encoded, which leaves room for the keys. */
  private static final long MAX_TRANSACTION_BYTES = 980_000;

  private static final PlatformException.Effect NONE = PlatformException.Effect.NONE;

  private final Scheduler scheduler;
  private final TableState tables = TableState.create();
  private final Map<String, Buffer> objects = new HashMap<>();
  private final List<LoggedChange> log = new ArrayList<>();
  private final PublishSubject<String> changed = PublishSubject.create();
  private Function<Transaction, WriteOutcome> outcomes = transaction -> WriteOutcome.APPLIED;
  private Predicate<String> tablesWithoutSnapshots = name -> false;
  private Predicate<String> tablesWithLaggingFeed = name -> false;
  private Predicate<String> objectsWithoutPuts = name -> false;
  private final Multiset<String> readsByTable = HashMultiset.create();
  private boolean down;
  private long objectDelayMillis;
  private long feedDelayMillis;
  private long scanDelayMillis;
  private long clockGainMillis;
  private long version;

  private record LoggedChange(long version, String table, ChangeFeed.Change change) {}

  private MemoryStore(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Returns an empty store. */
  public static MemoryStore create(Scheduler scheduler) {
    return new MemoryStore(scheduler);
  }

  /** Sets the function that decides how each write is handled. */
  public void setWriteOutcomes(Function<Transaction, WriteOutcome> decision) {
    outcomes = decision;
  }

  /** Sets which tables do not respond to snapshots. */
  public void blockSnapshots(Predicate<String> decision) {
    tablesWithoutSnapshots = decision;
  }

  /** Sets which tables have a feed that responds and lacks the newest changes. */
  public void delayFeeds(Predicate<String> decision) {
    tablesWithLaggingFeed = decision;
  }

  /** Sets the objects for which a put has no effect and gets no response. */
  public void blockPuts(Predicate<String> decision) {
    objectsWithoutPuts = decision;
  }

  /** Sets whether every call fails without effect. */
  public void setDown(boolean down) {
    this.down = down;
  }

  /** Discards the change history, so that every reader needs a new snapshot. */
  public void forgetHistory() {
    log.clear();
    version += 1_000;
  }

  /** Sets how long the store takes to return an object. */
  public void setObjectDelayMillis(long delayMillis) {
    objectDelayMillis = delayMillis;
  }

  /** Sets how long after the store has sent a response of the feed the caller handles it. */
  public void setFeedDelayMillis(long delayMillis) {
    feedDelayMillis = delayMillis;
  }

  /** Sets how long the store takes to return a page of rows. */
  public void setScanDelayMillis(long delayMillis) {
    scanDelayMillis = delayMillis;
  }

  /** Advances the store's clock against those of the processes, as if their VMs were suspended. */
  public void advanceClock(long millis) {
    clockGainMillis += millis;
  }

  /** Writes a row, as by another process. */
  public void put(String table, String key, JsonNode value) {
    apply(Transaction.builder().put(RowKey.of(table, key), value).build());
  }

  /** Removes a row, as by another process. */
  public void remove(String table, String key) {
    apply(Transaction.builder().delete(RowKey.of(table, key)).build());
  }

  /** Returns the keys of all objects. */
  public ImmutableSet<String> objectNames() {
    return ImmutableSet.copyOf(objects.keySet());
  }

  /** Returns how often single rows of a table were read. */
  public int reads(String table) {
    return readsByTable.count(table);
  }

  /** Returns the rows of a table. */
  public ImmutableList<Row> rows(String table) {
    return tables.scan(table, "", "", 10_000);
  }

  @Override
  public Single<CommitResult> commit(Transaction transaction) {
    return respond(
        () ->
            exceedsLimits(transaction)
                ? Single.error(new PlatformException(NONE, "transaction is too large"))
                : applyWithOutcome(transaction, outcomes.apply(transaction)));
  }

  private static boolean exceedsLimits(Transaction transaction) {
    long bytes =
        transaction.writes().stream()
            .flatMap(write -> write.value().stream())
            .mapToLong(value -> encode(value).length())
            .sum();
    return transaction.conditions().size() + transaction.writes().size() > MAX_TRANSACTION_ENTRIES
        || bytes > MAX_TRANSACTION_BYTES;
  }

  private static String encode(JsonNode value) {
    return Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
  }

  private Single<CommitResult> applyWithOutcome(Transaction transaction, WriteOutcome outcome) {
    switch (outcome) {
      case APPLIED:
        return Single.just(apply(transaction));
      case REJECTED:
        return Single.error(new PlatformException(NONE, "write rejected"));
      case RESPONSE_LOST:
        apply(transaction);
        return Single.never();
      case RESPONSE_DELAYED:
        return Single.just(apply(transaction))
            .delay(WRITE_DELAY_MILLIS, TimeUnit.MILLISECONDS, scheduler);
      case DELAYED:
        var unused =
            scheduler.scheduleDirect(
                () -> apply(transaction), WRITE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        return Single.never();
      default:
        throw new AssertionError(outcome);
    }
  }

  private CommitResult apply(Transaction transaction) {
    CommitResult result = tables.commit(transaction);
    if (result.committed()) {
      for (Transaction.Write write : transaction.writes()) {
        version++;
        ChangeFeed.Change change =
            new ChangeFeed.Change(write.row().key(), tables.read(write.row()));
        log.add(new LoggedChange(version, write.row().table(), change));
        changed.onNext(write.row().table());
      }
    }
    return result;
  }

  @Override
  public Single<Optional<Row>> read(RowKey key) {
    readsByTable.add(key.table());
    return respond(() -> Single.just(tables.read(key)));
  }

  @Override
  public Single<RowPage> scan(String table, String prefix, String after, int limit) {
    return respond(() -> Single.just(tables.scanPage(table, prefix, after, limit)))
        .delay(scanDelayMillis, TimeUnit.MILLISECONDS, scheduler);
  }

  @Override
  public Single<Snapshot> snapshot(String table) {
    return respond(
        () ->
            tablesWithoutSnapshots.test(table)
                ? Single.never()
                : Single.just(new Snapshot(rows(table), version, clockMillis())));
  }

  @Override
  public Single<Changes> changes(String table, long afterVersion, long waitMillis) {
    return respondToFeed(table, afterVersion, waitMillis)
        .flatMap(
            response ->
                Single.just(response).delay(feedDelayMillis, TimeUnit.MILLISECONDS, scheduler));
  }

  private Single<Changes> respondToFeed(String table, long afterVersion, long waitMillis) {
    return respond(
        () -> {
          if (afterVersion < version
              && (log.isEmpty() || log.get(0).version() > afterVersion + 1)) {
            return Single.error(new HistoryLostException(table));
          }
          Changes now = since(table, afterVersion);
          if (!now.changes().isEmpty() && !tablesWithLaggingFeed.test(table)) {
            return Single.just(now);
          }
          return changed
              .filter(table::equals)
              .firstOrError()
              .timeout(waitMillis, TimeUnit.MILLISECONDS, scheduler)
              .onErrorReturnItem(table)
              .map(
                  unused ->
                      tablesWithLaggingFeed.test(table)
                          ? new Changes(ImmutableList.of(), afterVersion, clockMillis())
                          : since(table, afterVersion));
        });
  }

  private Changes since(String table, long afterVersion) {
    ImmutableList<Change> changes =
        log.stream()
            .filter(each -> each.version() > afterVersion && each.table().equals(table))
            .map(LoggedChange::change)
            .collect(ImmutableList.toImmutableList());
    return new Changes(changes, version, clockMillis());
  }

  @Override
  public Single<Boolean> putIfAbsent(String key, Buffer bytes) {
    return respond(
        () ->
            objectsWithoutPuts.test(key)
                ? Single.never()
                : Single.just(objects.putIfAbsent(key, bytes) == null));
  }

  @Override
  public Single<Optional<Buffer>> get(String key) {
    return respond(() -> Single.just(Optional.ofNullable(objects.get(key))))
        .delay(objectDelayMillis, TimeUnit.MILLISECONDS, scheduler);
  }

  @Override
  public Completable delete(String key) {
    return respond(() -> Single.just(Optional.ofNullable(objects.remove(key)))).ignoreElement();
  }

  private <T> Single<T> respond(Supplier<Single<T>> call) {
    return Single.timer(RESPONSE_DELAY_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .flatMap(
            unused ->
                down ? Single.error(new PlatformException(NONE, "store is down")) : call.get());
  }

  /**
   * Returns the store's monotonic clock.
   *
   * <p>It differs from the clocks of the simulated processes, because monotonic clocks of different
   * machines have different origins.
   */
  public long clockMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS) - CLOCK_OFFSET_MILLIS + clockGainMillis;
  }
}
