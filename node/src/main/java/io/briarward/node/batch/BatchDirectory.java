package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.platform.Row;
import io.briarward.core.weights.FreshnessDemand;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.PublishSubject;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Caches the newest known head of every batch.
 *
 * <p>Heads arrive from the change feed, from reads and from this process's own writes; an older
 * head never replaces a newer one. Confined to the event loop.
 */
final class BatchDirectory implements AutoCloseable {
  /** The pause between two reads while a caller of this node waits for results. */
  private static final long FEED_PAUSE_MILLIS = 50;

  /** The age of the change feed's last response above which a head is read from the store. */
  private static final long MAX_FEED_AGE_MILLIS = 500;

  /**
   * The number of newest batches that determine the allowed lag of a model's weights. The largest
   * lag applies, since a process that receives an announcement late records too small a lag.
   */
  private static final int LAG_BATCHES = 3;

  private final Scheduler scheduler;
  private final EventLog log;
  private final BatchStore store;
  private final TableWatch watch;
  private final Map<String, StoredHead> heads = new HashMap<>();
  private final PublishSubject<StoredHead> changes = PublishSubject.create();
  private int waitingCallers;

  private BatchDirectory(
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      BatchStore store,
      LongSupplier idlePauseMillis) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.store = checkNotNull(store, "store");
    this.watch =
        TableWatch.start(
            feed,
            scheduler,
            log,
            BatchStore.HEADS_TABLE,
            () -> pauseMillis(idlePauseMillis),
            new HeadListener());
  }

  /**
   * Starts to follow the heads of all batches by the change feed.
   *
   * @param idlePauseMillis returns the pause between two reads of changes while no caller waits for
   *     results
   */
  static BatchDirectory start(
      ChangeFeed feed,
      Scheduler scheduler,
      EventLog log,
      BatchStore store,
      LongSupplier idlePauseMillis) {
    return new BatchDirectory(feed, scheduler, log, store, idlePauseMillis);
  }

  private long pauseMillis(LongSupplier idlePauseMillis) {
    return waitingCallers > 0
        ? FEED_PAUSE_MILLIS
        : Math.max(FEED_PAUSE_MILLIS, idlePauseMillis.getAsLong());
  }

  /** Returns the newest known head of a batch without reading the store. */
  Optional<StoredHead> cachedHead(String id) {
    return Optional.ofNullable(heads.get(id));
  }

  /** Returns the newest known heads of all batches. */
  ImmutableList<StoredHead> cachedHeads() {
    return ImmutableList.copyOf(heads.values());
  }

  /** Returns a stream of the heads that are new or replace an older one. */
  Observable<StoredHead> changes() {
    return changes;
  }

  /** Returns the freshness that the known batches demand of each model's weights. */
  ImmutableMap<String, FreshnessDemand> freshnessDemands() {
    ImmutableListMultimap<String, BatchHead> batches =
        heads.values().stream()
            .map(StoredHead::head)
            .filter(head -> head.versions().isPresent())
            .sorted(Comparator.comparingLong(BatchHead::acceptedAtMillis).reversed())
            .collect(
                ImmutableListMultimap.toImmutableListMultimap(
                    head -> head.versions().get().model(), head -> head));
    return batches.asMap().entrySet().stream()
        .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, entry -> demand(entry.getValue())));
  }

  /** Returns the demand of one model's batches, which are ordered from newest to oldest. */
  private static FreshnessDemand demand(Collection<BatchHead> batches) {
    long requiredVersion =
        batches.stream()
            .filter(BatchHead::isOpen)
            .mapToLong(head -> head.versions().orElseThrow().minVersion())
            .max()
            .orElse(0);
    long allowedLag =
        batches.stream()
            .limit(LAG_BATCHES)
            .mapToLong(head -> head.versions().orElseThrow().allowedLag())
            .max()
            .orElse(0);
    return new FreshnessDemand(requiredVersion, allowedLag);
  }

  /** Caches a head that was read or written, unless a newer one is known. */
  void update(StoredHead head) {
    StoredHead known = heads.get(head.head().id());
    if (known == null || known.rowVersion() < head.rowVersion()) {
      heads.put(head.head().id(), head);
      changes.onNext(head);
    }
  }

  /** Drops the head of a removed batch. */
  void remove(String id) {
    heads.remove(id);
  }

  /**
   * Returns the head of an organisation's batch, or empty if there is none.
   *
   * <p>Reads the store if no head is cached.
   */
  Single<Optional<BatchHead>> find(String id, String organisation) {
    Single<Optional<StoredHead>> found =
        cachedHead(id).isPresent() ? Single.just(cachedHead(id)) : read(id);
    return found.map(
        each ->
            each.map(StoredHead::head).filter(head -> head.organisation().equals(organisation)));
  }

  /** Reads the head of a batch from the store. */
  Single<Optional<StoredHead>> read(String id) {
    return store.head(id).doOnSuccess(found -> found.ifPresent(this::update));
  }

  /**
   * Returns the head once it lists more than {@code count} results.
   *
   * <p>Returns the current head if no such head arrives within {@code waitMillis}.
   */
  Single<BatchHead> awaitListed(String id, int count, long waitMillis) {
    return changes()
        .map(StoredHead::head)
        .filter(head -> head.id().equals(id) && head.listed() > count)
        .firstOrError()
        .timeout(waitMillis, TimeUnit.MILLISECONDS, scheduler)
        .onErrorResumeNext(unused -> currentHead(id))
        .doOnSubscribe(unused -> waitingCallers++)
        .doFinally(() -> waitingCallers--);
  }

  private Single<BatchHead> currentHead(String id) {
    Optional<StoredHead> known = cachedHead(id);
    if (known.isPresent() && watch.ageMillis() <= MAX_FEED_AGE_MILLIS) {
      return Single.just(known.get().head());
    }
    return read(id).map(Optional::orElseThrow).map(StoredHead::head);
  }

  @Override
  public void close() {
    watch.close();
  }

  private final class HeadListener implements TableWatch.Listener {
    @Override
    public void onSnapshot(ImmutableList<Row> rows) {
      rows.forEach(this::onRow);
    }

    @Override
    public void onChanges(ImmutableList<ChangeFeed.Change> changes) {
      changes.forEach(
          change -> change.row().ifPresentOrElse(this::onRow, () -> remove(change.key())));
    }

    private void onRow(Row row) {
      try {
        update(StoredHead.of(row));
      } catch (RuntimeException e) {
        log.warn("batch-row-rejected", "batch", row.key(), "cause", e.toString());
      }
    }
  }
}
