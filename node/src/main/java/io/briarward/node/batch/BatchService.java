package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.BatchTerms;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.lease.DutyCandidates;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ObjectStore;
import io.briarward.node.platform.PlatformException;
import io.briarward.node.platform.TableService;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.PublishSubject;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Accepts batches, owns those that this process runs, and answers questions about all of them.
 *
 * <p>The process that accepts a batch runs it. When it dies, another takes the batch over and runs
 * what is not listed yet. Confined to the event loop.
 */
public final class BatchService implements AutoCloseable {
  private static final long STEP_MILLIS = 50;
  private static final long TAKEOVER_MILLIS = 500;
  private static final long FEED_PAUSE_MILLIS = 50;

  /** The age of the last news of heads above which the store is asked itself, in milliseconds. */
  private static final long FRESH_MILLIS = 500;

  /** How long a call of the store may take, in milliseconds. */
  private static final long STORE_TIMEOUT_MILLIS = 1_500;

  /** How often a write whose answer was lost is resolved by sending it again. */
  private static final int WRITE_TRIES = 3;

  private static final long REMOVAL_RETRY_MILLIS = 10_000; // Nothing depends on a quick removal.

  private static final int CACHED_SUBMISSIONS = 4; // Each takes some hundred KB.

  private final Scheduler scheduler;
  private final FleetState fleet;
  private final NodeRegistry nodes;
  private final EventLog log;
  private final String incarnation;
  private final long retentionMillis;
  private final BatchStore store;
  private final BatchContext context;
  private final TableWatch watch;
  private final Map<String, StoredHead> heads = new HashMap<>();
  private final Map<String, BatchOwner> owners = new HashMap<>();
  private final Set<String> busy = new HashSet<>();
  private final PublishSubject<String> headChanges = PublishSubject.create();
  private final Cache<String, BatchSpec> specs =
      CacheBuilder.newBuilder().maximumSize(CACHED_SUBMISSIONS).build();
  private Disposable stepping = Disposable.disposed();
  private Disposable takeovers = Disposable.disposed();
  private boolean stepRequested;
  private boolean draining;

  /** What a service needs of the world outside. */
  public record Ports(
      TableService tables,
      ObjectStore objects,
      ChangeFeed feed,
      BatchCodec codec,
      SamplerClient samplers) {
    /** Checks the fields. */
    public Ports {
      checkNotNull(tables, "tables");
      checkNotNull(objects, "objects");
      checkNotNull(feed, "feed");
      checkNotNull(codec, "codec");
      checkNotNull(samplers, "samplers");
    }
  }

  /**
   * How a service is set up.
   *
   * @param incarnation unique to this process
   * @param retentionMillis how long a batch that has ended is kept after it was accepted
   */
  public record Settings(String incarnation, long retentionMillis) {
    /** Checks the fields. */
    public Settings {
      checkNotNull(incarnation, "incarnation");
    }
  }

  private BatchService(
      Settings settings,
      Ports ports,
      Scheduler scheduler,
      FleetState fleet,
      NodeRegistry nodes,
      EventLog log) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.fleet = checkNotNull(fleet, "fleet");
    this.nodes = checkNotNull(nodes, "nodes");
    this.log = checkNotNull(log, "log");
    this.incarnation = settings.incarnation();
    this.retentionMillis = settings.retentionMillis();
    this.store = new BatchStore(scheduler, ports.tables(), ports.objects(), ports.codec());
    this.context =
        new BatchContext(
            scheduler,
            fleet,
            store,
            ports.samplers(),
            log,
            incarnation,
            nodes::storeMillis,
            this::remember,
            this::requestStep);
    this.watch =
        TableWatch.start(
            ports.feed(), scheduler, log, BatchStore.HEADS, FEED_PAUSE_MILLIS, new HeadListener());
  }

  /** Starts to follow all batches and to run those of this process. */
  public static BatchService start(
      Settings settings,
      Ports ports,
      Scheduler scheduler,
      FleetState fleet,
      NodeRegistry nodes,
      EventLog log) {
    BatchService service = new BatchService(settings, ports, scheduler, fleet, nodes, log);
    service.stepping = every(scheduler, STEP_MILLIS, service::step);
    service.takeovers = every(scheduler, TAKEOVER_MILLIS, service::takeOver);
    return service;
  }

  private static Disposable every(Scheduler scheduler, long millis, Runnable action) {
    return Flowable.interval(millis, TimeUnit.MILLISECONDS, scheduler)
        .onBackpressureDrop()
        .subscribe(unused -> action.run());
  }

  /** What became of a submission. */
  public enum Submitted {
    /** The batch is kept and will run. */
    ACCEPTED,
    /** Nothing of the batch runs or ever will by this submission. */
    REFUSED,
    /** Whether the batch was accepted is not known. */
    UNKNOWN
  }

  /**
   * Results from a position on.
   *
   * @param total the number of items of the batch
   * @param next where to go on
   */
  public record ResultPage(int total, int next, ImmutableList<ItemResult> results) {}

  /** Accepts a batch, or finds that it was accepted before. */
  public Single<Submitted> submit(
      BatchSpec spec, Buffer bytes, String organisation, BatchTerms terms) {
    StoredHead known = heads.get(spec.id());
    if (known != null) {
      boolean same = known.head().organisation().equals(organisation);
      return Single.just(same ? Submitted.ACCEPTED : Submitted.REFUSED);
    }
    if (draining || !nodes.clockKnown()) {
      return Single.just(Submitted.REFUSED);
    }
    return store
        .putSubmission(spec.id(), bytes)
        .observeOn(scheduler)
        .flatMap(name -> insert(newHead(spec, organisation, terms, name), spec, WRITE_TRIES, false))
        .onErrorReturn(
            error -> {
              log.warn("batch-refused", "batch", spec.id(), "cause", error.toString());
              return Submitted.REFUSED;
            })
        .doOnSuccess(
            outcome ->
                log.info(
                    "batch-submitted",
                    "batch",
                    spec.id(),
                    "organisation",
                    organisation,
                    "items",
                    spec.items().size(),
                    "minVersion",
                    spec.minVersion(),
                    "outcome",
                    outcome));
  }

  private BatchHead newHead(
      BatchSpec spec, String organisation, BatchTerms terms, String submission) {
    return new BatchHead(
        spec.id(),
        organisation,
        submission,
        terms,
        spec.items().size(),
        0,
        false,
        Optional.of(incarnation),
        nodes.storeMillis(),
        context.nextToken());
  }

  /**
   * Inserts a head, again after a lost answer, which takes effect once.
   *
   * @param unclear whether an earlier try may still take effect
   */
  private Single<Submitted> insert(BatchHead head, BatchSpec spec, int tries, boolean unclear) {
    return bounded(store.insert(head))
        .map(result -> onInserted(head, spec, result))
        .onErrorResumeNext(
            error -> {
              log.warn("batch-insert-failed", "batch", head.id(), "cause", error.toString());
              boolean stillUnclear = unclear || !hadNoEffect(error);
              if (tries > 1) {
                return insert(head, spec, tries - 1, stillUnclear);
              }
              return Single.just(stillUnclear ? Submitted.UNKNOWN : Submitted.REFUSED);
            });
  }

  private static boolean hadNoEffect(Throwable error) {
    return error instanceof PlatformException platform
        && platform.effect() == PlatformException.Effect.NONE;
  }

  private Submitted onInserted(BatchHead head, BatchSpec spec, CommitResult result) {
    if (result instanceof CommitResult.Committed committed) {
      run(spec, StoredHead.written(head, committed), ImmutableSet.of());
      return Submitted.ACCEPTED;
    }
    Optional<Row> present =
        ((CommitResult.Conflict) result).conflicts().get(BatchStore.headKey(head.id()));
    if (present == null || present.isEmpty()) {
      return Submitted.UNKNOWN;
    }
    StoredHead there = StoredHead.of(present.get());
    remember(there);
    return there.head().organisation().equals(head.organisation())
        ? Submitted.ACCEPTED
        : Submitted.REFUSED;
  }

  /**
   * Returns results from a position on, and waits for one if there is none.
   *
   * <p>Empty when there is no such batch of the organisation. Fails when the store does not answer.
   */
  public Single<Optional<ResultPage>> results(
      String id, String organisation, int after, long waitMillis) {
    return head(id, organisation)
        .flatMap(
            found ->
                found.isEmpty()
                    ? Single.just(Optional.empty())
                    : waitForResults(found.get(), after, waitMillis).map(Optional::of));
  }

  private Single<ResultPage> waitForResults(BatchHead head, int after, long waitMillis) {
    if (head.listed() > after) {
      return page(head, after);
    }
    if (head.listed() == head.total()) {
      return Single.just(new ResultPage(head.total(), after, ImmutableList.of()));
    }
    return headChanges
        .filter(id -> id.equals(head.id()) && heads.get(id).head().listed() > after)
        .firstOrError()
        .timeout(waitMillis, TimeUnit.MILLISECONDS, scheduler)
        .map(id -> heads.get(id).head())
        .onErrorResumeNext(unused -> freshHead(head.id()))
        .flatMap(
            now ->
                now.listed() > after
                    ? page(now, after)
                    : Single.just(new ResultPage(now.total(), after, ImmutableList.of())));
  }

  private Single<BatchHead> freshHead(String id) {
    StoredHead known = heads.get(id);
    if (known != null && watch.ageMillis() <= FRESH_MILLIS) {
      return Single.just(known.head());
    }
    return bounded(store.head(id))
        .map(Optional::orElseThrow)
        .doOnSuccess(this::remember)
        .map(StoredHead::head);
  }

  private Single<ResultPage> page(BatchHead head, int after) {
    return bounded(store.results(head.id(), after))
        .map(results -> new ResultPage(head.total(), after + results.size(), results));
  }

  /**
   * Returns the body of an item; empty when there is no such item of the organisation.
   *
   * <p>Fails when the store does not answer.
   */
  public Single<Optional<byte[]>> itemBody(String id, String organisation, String itemId) {
    return head(id, organisation)
        .flatMap(
            found ->
                found.isEmpty()
                    ? Single.just(Optional.empty())
                    : spec(found.get())
                        .map(spec -> spec.flatMap(s -> s.item(itemId)).map(BatchItem::body)));
  }

  /**
   * Ends a batch; false when there is no such batch of the organisation.
   *
   * <p>Fails when the store does not answer, and the batch may then be ended or not.
   */
  public Single<Boolean> end(String id, String organisation) {
    return bounded(store.head(id))
        .flatMap(
            found ->
                found.filter(each -> each.head().organisation().equals(organisation)).isEmpty()
                    ? Single.just(false)
                    : end(found.get()));
  }

  private Single<Boolean> end(StoredHead present) {
    if (present.head().ended()) {
      remember(present);
      return Single.just(true);
    }
    BatchHead next = present.head().withEnded(context.nextToken());
    return bounded(store.replace(present, next, ImmutableList.of()))
        .flatMap(
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                remember(StoredHead.written(next, committed));
                return Single.just(true);
              }
              // The owner listed results meanwhile.
              return bounded(store.head(next.id())).flatMap(now -> end(now.orElseThrow()));
            });
  }

  /** Starts no further work and gives the batches of this process up once their runs ended. */
  public Completable drain(long timeoutMillis) {
    draining = true;
    owners.values().forEach(BatchOwner::drain);
    return Flowable.interval(STEP_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .takeUntil((Long unused) -> owners.values().stream().allMatch(BatchOwner::drained))
        .ignoreElements()
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
        .onErrorComplete()
        .andThen(Completable.defer(this::releaseAll));
  }

  private Completable releaseAll() {
    return Flowable.fromIterable(ImmutableList.copyOf(owners.values()))
        .flatMapCompletable(
            owner ->
                bounded(owner.release())
                    .ignoreElement()
                    .doOnError(
                        error ->
                            log.warn(
                                "batch-release-failed",
                                "batch",
                                owner.spec().id(),
                                "cause",
                                error.toString()))
                    .onErrorComplete());
  }

  @Override
  public void close() {
    stepping.dispose();
    takeovers.dispose();
    watch.close();
    owners.values().forEach(owner -> owner.stop("process stops"));
  }

  private Single<Optional<BatchHead>> head(String id, String organisation) {
    StoredHead known = heads.get(id);
    Single<Optional<StoredHead>> found =
        known != null
            ? Single.just(Optional.of(known))
            : bounded(store.head(id)).doOnSuccess(read -> read.ifPresent(this::remember));
    return found.map(
        each ->
            each.map(StoredHead::head).filter(head -> head.organisation().equals(organisation)));
  }

  private Single<Optional<BatchSpec>> spec(BatchHead head) {
    String id = head.id();
    BatchOwner owner = owners.get(id);
    BatchSpec cached = owner != null ? owner.spec() : specs.getIfPresent(id);
    if (cached != null) {
      return Single.just(Optional.of(cached));
    }
    return bounded(store.submission(head))
        .doOnSuccess(found -> found.ifPresent(spec -> specs.put(id, spec)));
  }

  private final class HeadListener implements TableWatch.Listener {
    @Override
    public void onSnapshot(ImmutableList<Row> rows) {
      rows.forEach(this::onRow);
    }

    @Override
    public void onChanges(ImmutableList<ChangeFeed.Change> changes) {
      changes.forEach(
          change -> change.row().ifPresentOrElse(this::onRow, () -> heads.remove(change.key())));
    }

    private void onRow(Row row) {
      try {
        remember(StoredHead.of(row));
      } catch (IllegalArgumentException e) {
        log.warn("batch-row-rejected", "batch", row.key(), "cause", e.getMessage());
      }
    }
  }

  private void remember(StoredHead head) {
    String id = head.head().id();
    StoredHead known = heads.get(id);
    if (known != null && known.rowVersion() >= head.rowVersion()) {
      return;
    }
    heads.put(id, head);
    BatchOwner owner = owners.get(id);
    if (owner != null) {
      owner.onHead(head);
    }
    headChanges.onNext(id);
  }

  private void run(BatchSpec spec, StoredHead head, ImmutableSet<String> listed) {
    remember(head);
    owners.put(spec.id(), new BatchOwner(context, spec, head, listed));
    requestStep();
  }

  private void requestStep() {
    if (!stepRequested) {
      stepRequested = true;
      var unused = scheduler.scheduleDirect(this::step);
    }
  }

  private void step() {
    stepRequested = false;
    for (BatchOwner owner : ImmutableList.copyOf(owners.values())) {
      owner.step();
      if (owner.stopped()) {
        owners.remove(owner.spec().id());
      }
    }
  }

  /** Takes over what nobody runs; of the nodes alive, one chosen by hash does so first. */
  private void takeOver() {
    if (draining || !fleet.known() || !nodes.clockKnown()) {
      return;
    }
    ImmutableSet<String> alive = nodes.alive();
    for (StoredHead stored : ImmutableList.copyOf(heads.values())) {
      BatchHead head = stored.head();
      if (owners.containsKey(head.id()) || busy.contains(head.id())) {
        continue;
      }
      if (!head.open()) {
        removeIfOld(stored, alive);
        continue;
      }
      if (head.owner().equals(Optional.of(incarnation))) {
        adopt(stored);
      } else if (unowned(head, alive)
          && DutyCandidates.choose(head.id(), alive, 1).contains(incarnation)) {
        claim(stored);
      }
    }
  }

  /** Removes a batch that nobody asks for any more; of the nodes alive, one chosen by hash does. */
  private void removeIfOld(StoredHead stored, ImmutableSet<String> alive) {
    BatchHead head = stored.head();
    long ageMillis = nodes.storeMillis() - head.acceptedAtMillis();
    if (ageMillis < Math.max(retentionMillis, head.terms().maxWaitMillis())
        || !DutyCandidates.choose(head.id(), alive, 1).contains(incarnation)) {
      return;
    }
    busy.add(head.id());
    var unused =
        store
            .remove(stored)
            .timeout(STORE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
            .observeOn(scheduler)
            .subscribe(
                () -> {
                  busy.remove(head.id());
                  heads.remove(head.id());
                  log.info("batch-removed", "batch", head.id(), "ageMillis", ageMillis);
                },
                error -> {
                  var later =
                      scheduler.scheduleDirect(
                          () -> busy.remove(head.id()),
                          REMOVAL_RETRY_MILLIS,
                          TimeUnit.MILLISECONDS);
                  log.warn("batch-not-removed", "batch", head.id(), "cause", error.toString());
                });
  }

  /** Returns whether a batch was given up, or its owner is surely not among the living. */
  private boolean unowned(BatchHead head, ImmutableSet<String> alive) {
    if (head.owner().isEmpty() || nodes.replaced(head.owner().get())) {
      return true;
    }
    return nodes.reliable() && !alive.contains(head.owner().get());
  }

  private void claim(StoredHead stored) {
    BatchHead next = stored.head().withOwner(Optional.of(incarnation), context.nextToken());
    busy.add(next.id());
    log.info(
        "batch-takeover",
        "batch",
        next.id(),
        "from",
        stored.head().owner().orElse("nobody"),
        "listed",
        next.listed(),
        "total",
        next.total(),
        "storeAgeMillis",
        nodes.storeAgeMillis());
    var unused =
        bounded(store.replace(stored, next, ImmutableList.of()))
            .doFinally(() -> busy.remove(next.id()))
            .subscribe(
                result -> {
                  if (result instanceof CommitResult.Committed committed) {
                    adopt(StoredHead.written(next, committed));
                  }
                },
                error ->
                    log.warn("takeover-failed", "batch", next.id(), "cause", error.toString()));
  }

  private void adopt(StoredHead stored) {
    String id = stored.head().id();
    remember(stored);
    busy.add(id);
    var unused =
        Single.zip(
                bounded(store.submission(stored.head())),
                bounded(store.listedIds(id, 0)),
                (spec, listed) -> {
                  if (spec.isEmpty()) {
                    log.warn("submission-missing", "batch", id);
                  } else if (!owners.containsKey(id)) {
                    run(spec.get(), stored, ImmutableSet.copyOf(listed));
                  }
                  return id;
                })
            .doFinally(() -> busy.remove(id))
            .subscribe(
                done -> {},
                error -> log.warn("adoption-failed", "batch", id, "cause", error.toString()));
  }

  private <T> Single<T> bounded(Single<T> call) {
    return call.timeout(STORE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .observeOn(scheduler);
  }
}
