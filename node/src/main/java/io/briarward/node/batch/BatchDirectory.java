package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchSpec;
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

/**
 * The newest known head of every batch.
 *
 * <p>Heads arrive by the change feed, by reads and by this process's own writes; an older one never
 * replaces a newer one. Confined to the event loop.
 */
final class BatchDirectory implements AutoCloseable {
  private static final long FEED_PAUSE_MILLIS = 50;

  /** The age of the last news of heads above which the store is asked itself, in milliseconds. */
  private static final long FRESH_MILLIS = 500;

  /**
   * How many batches show how old weights may be. The largest lag counts, since a process that
   * heard late of an announcement notes one that is too small.
   */
  private static final int JUDGED_BATCHES = 3;

  private static final int CACHED_SUBMISSIONS = 4; // Each takes some hundred KB.

  private final Scheduler scheduler;
  private final EventLog log;
  private final BatchStore store;
  private final TableWatch watch;
  private final Map<String, StoredHead> heads = new HashMap<>();
  private final PublishSubject<StoredHead> changes = PublishSubject.create();
  private final Cache<String, BatchSpec> specs =
      CacheBuilder.newBuilder().maximumSize(CACHED_SUBMISSIONS).build();

  private BatchDirectory(ChangeFeed feed, Scheduler scheduler, EventLog log, BatchStore store) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.store = checkNotNull(store, "store");
    this.watch =
        TableWatch.start(
            feed, scheduler, log, BatchStore.HEADS, FEED_PAUSE_MILLIS, new HeadListener());
  }

  /** Starts to follow the heads of all batches. */
  static BatchDirectory start(
      ChangeFeed feed, Scheduler scheduler, EventLog log, BatchStore store) {
    return new BatchDirectory(feed, scheduler, log, store);
  }

  /** Returns the newest known head of a batch, without asking the store. */
  Optional<StoredHead> known(String id) {
    return Optional.ofNullable(heads.get(id));
  }

  /** Returns the newest known heads of all batches. */
  ImmutableList<StoredHead> all() {
    return ImmutableList.copyOf(heads.values());
  }

  /** Returns heads that replaced an older one, or are new, from now on. */
  Observable<StoredHead> changes() {
    return changes;
  }

  /** Returns how fresh the weights of each model must be for the batches that are known. */
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

  /** Returns the demand of one model's batches, the newest of them first. */
  private static FreshnessDemand demand(Collection<BatchHead> batches) {
    long requiredVersion =
        batches.stream()
            .filter(BatchHead::open)
            .mapToLong(head -> head.versions().orElseThrow().minVersion())
            .max()
            .orElse(0);
    long allowedLag =
        batches.stream()
            .limit(JUDGED_BATCHES)
            .mapToLong(head -> head.versions().orElseThrow().allowedLag())
            .max()
            .orElse(0);
    return new FreshnessDemand(requiredVersion, allowedLag);
  }

  /** Takes a head that was read or written, unless a newer one is known. */
  void remember(StoredHead head) {
    StoredHead known = heads.get(head.head().id());
    if (known == null || known.rowVersion() < head.rowVersion()) {
      heads.put(head.head().id(), head);
      changes.onNext(head);
    }
  }

  /** Forgets a batch that was removed. */
  void forget(String id) {
    heads.remove(id);
  }

  /** Returns the head of a batch of an organisation, which the store is asked for if not known. */
  Single<Optional<BatchHead>> find(String id, String organisation) {
    Single<Optional<StoredHead>> found = known(id).isPresent() ? Single.just(known(id)) : read(id);
    return found.map(
        each ->
            each.map(StoredHead::head).filter(head -> head.organisation().equals(organisation)));
  }

  /** Reads the head of a batch from the store. */
  Single<Optional<StoredHead>> read(String id) {
    return store.head(id).doOnSuccess(found -> found.ifPresent(this::remember));
  }

  /** Returns the head once it lists more than {@code count} results, or the newest in time. */
  Single<BatchHead> awaitListed(String id, int count, long waitMillis) {
    return changes()
        .map(StoredHead::head)
        .filter(head -> head.id().equals(id) && head.listed() > count)
        .firstOrError()
        .timeout(waitMillis, TimeUnit.MILLISECONDS, scheduler)
        .onErrorResumeNext(unused -> fresh(id));
  }

  private Single<BatchHead> fresh(String id) {
    Optional<StoredHead> known = known(id);
    if (known.isPresent() && watch.ageMillis() <= FRESH_MILLIS) {
      return Single.just(known.get().head());
    }
    return read(id).map(Optional::orElseThrow).map(StoredHead::head);
  }

  /** Returns the submission of a batch, kept for a while since its items are asked for in a row. */
  Single<Optional<BatchSpec>> spec(BatchHead head) {
    BatchSpec cached = specs.getIfPresent(head.id());
    if (cached != null) {
      return Single.just(Optional.of(cached));
    }
    return store
        .submission(head)
        .doOnSuccess(found -> found.ifPresent(spec -> specs.put(head.id(), spec)));
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
          change -> change.row().ifPresentOrElse(this::onRow, () -> forget(change.key())));
    }

    private void onRow(Row row) {
      try {
        remember(StoredHead.of(row));
      } catch (IllegalArgumentException e) {
        log.warn("batch-row-rejected", "batch", row.key(), "cause", e.getMessage());
      }
    }
  }
}
