package io.briarward.node.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** A store in memory, in virtual time, with outages, lost answers and late writes. */
public final class MemoryStore implements TableService, ChangeFeed, ObjectStore {
  /** What becomes of a write. */
  public enum Fate {
    /** It is applied and answered. */
    ANSWERED,
    /** Nothing is done, and the caller is told so. */
    REFUSED,
    /** It is applied, and no answer comes. */
    ANSWER_LOST,
    /** No answer comes, and it is applied a second later if its conditions still hold. */
    LATE
  }

  private static final long ANSWER_MILLIS = 4;
  private static final long CLOCK_LAG_MILLIS = 1_000_000;
  private static final long LATE_MILLIS = 1_000;
  private static final PlatformException.Effect NONE = PlatformException.Effect.NONE;

  private final Scheduler scheduler;
  private final TableState tables = TableState.create();
  private final Map<String, Buffer> objects = new HashMap<>();
  private final List<Logged> log = new ArrayList<>();
  private final PublishSubject<String> changed = PublishSubject.create();
  private Function<Transaction, Fate> fates = transaction -> Fate.ANSWERED;
  private Predicate<String> silentTables = name -> false;
  private Predicate<String> silentObjects = name -> false;
  private boolean down;
  private long version;

  private record Logged(long version, String table, ChangeFeed.Change change) {}

  private MemoryStore(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Returns an empty store. */
  public static MemoryStore create(Scheduler scheduler) {
    return new MemoryStore(scheduler);
  }

  /** Decides what becomes of each write. */
  public void decideFates(Function<Transaction, Fate> decision) {
    fates = decision;
  }

  /** Decides which tables are not read whole. */
  public void silenceTables(Predicate<String> decision) {
    silentTables = decision;
  }

  /** Decides which objects are not answered for. */
  public void silenceObjects(Predicate<String> decision) {
    silentObjects = decision;
  }

  /** Sets whether every call is refused. */
  public void setDown(boolean down) {
    this.down = down;
  }

  /** Drops the history of all changes. */
  public void forgetHistory() {
    log.clear();
    version += 1_000;
  }

  /** Writes a row as another process would. */
  public void put(String table, String key, JsonNode value) {
    apply(Transaction.builder().put(RowKey.of(table, key), value).build());
  }

  /** Removes a row as another process would. */
  public void remove(String table, String key) {
    apply(Transaction.builder().delete(RowKey.of(table, key)).build());
  }

  /** Returns the names of all objects. */
  public ImmutableSet<String> objectNames() {
    return ImmutableSet.copyOf(objects.keySet());
  }

  /** Returns the rows of a table. */
  public ImmutableList<Row> rows(String table) {
    return tables.scan(table, "", "", 10_000);
  }

  @Override
  public Single<CommitResult> commit(Transaction transaction) {
    return answer(() -> carryOut(transaction, fates.apply(transaction)));
  }

  private Single<CommitResult> carryOut(Transaction transaction, Fate fate) {
    switch (fate) {
      case ANSWERED:
        return Single.just(apply(transaction));
      case REFUSED:
        return Single.error(new PlatformException(NONE, "refused"));
      case ANSWER_LOST:
        apply(transaction);
        return Single.never();
      case LATE:
        var unused =
            scheduler.scheduleDirect(() -> apply(transaction), LATE_MILLIS, TimeUnit.MILLISECONDS);
        return Single.never();
      default:
        throw new AssertionError(fate);
    }
  }

  private CommitResult apply(Transaction transaction) {
    CommitResult result = tables.commit(transaction);
    if (result.committed()) {
      for (Transaction.Write write : transaction.writes()) {
        version++;
        ChangeFeed.Change change =
            new ChangeFeed.Change(write.row().key(), tables.read(write.row()));
        log.add(new Logged(version, write.row().table(), change));
        changed.onNext(write.row().table());
      }
    }
    return result;
  }

  @Override
  public Single<Optional<Row>> read(RowKey key) {
    return answer(() -> Single.just(tables.read(key)));
  }

  @Override
  public Single<ImmutableList<Row>> scan(String table, String prefix, String after, int limit) {
    return answer(() -> Single.just(tables.scan(table, prefix, after, limit)));
  }

  @Override
  public Single<Snapshot> snapshot(String table) {
    return answer(
        () ->
            silentTables.test(table)
                ? Single.never()
                : Single.just(new Snapshot(rows(table), version, clockMillis())));
  }

  @Override
  public Single<Changes> changes(String table, long afterVersion, long waitMillis) {
    return answer(
        () -> {
          if (afterVersion < version
              && (log.isEmpty() || log.get(0).version() > afterVersion + 1)) {
            return Single.error(new HistoryLostException(table));
          }
          Changes now = since(table, afterVersion);
          if (!now.changes().isEmpty()) {
            return Single.just(now);
          }
          return changed
              .filter(table::equals)
              .firstOrError()
              .timeout(waitMillis, TimeUnit.MILLISECONDS, scheduler)
              .onErrorReturnItem(table)
              .map(unused -> since(table, afterVersion));
        });
  }

  private Changes since(String table, long afterVersion) {
    ImmutableList<Change> changes =
        log.stream()
            .filter(each -> each.version() > afterVersion && each.table().equals(table))
            .map(Logged::change)
            .collect(ImmutableList.toImmutableList());
    return new Changes(changes, version, clockMillis());
  }

  @Override
  public Single<Boolean> putIfAbsent(String key, Buffer bytes) {
    return answer(
        () ->
            silentObjects.test(key)
                ? Single.never()
                : Single.just(objects.putIfAbsent(key, bytes) == null));
  }

  @Override
  public Single<Optional<Buffer>> get(String key) {
    return answer(() -> Single.just(Optional.ofNullable(objects.get(key))));
  }

  @Override
  public Completable delete(String key) {
    return answer(() -> Single.just(Optional.ofNullable(objects.remove(key)))).ignoreElement();
  }

  private <T> Single<T> answer(Supplier<Single<T>> call) {
    return Single.timer(ANSWER_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .flatMap(
            unused ->
                down ? Single.error(new PlatformException(NONE, "the store is down")) : call.get());
  }

  /** Behind the processes' clocks, since no two machines count from the same moment. */
  private long clockMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS) - CLOCK_LAG_MILLIS;
  }
}
