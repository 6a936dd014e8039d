package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.lease.DutyCandidates;
import io.briarward.core.platform.CommitResult;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Runs the batches that this process owns, and takes over those that nobody runs.
 *
 * <p>Confined to the event loop.
 */
final class BatchOwnership implements AutoCloseable {
  private static final long STEP_MILLIS = 50;
  private static final long TAKEOVER_MILLIS = 500;

  private final Scheduler scheduler;
  private final FleetState fleet;
  private final NodeRegistry nodes;
  private final EventLog log;
  private final String incarnation;
  private final BatchStore store;
  private final BatchDirectory directory;
  private final BatchContext context;
  private final Map<String, BatchOwner> owners = new HashMap<>();
  private final Set<String> changingHands = new HashSet<>();
  private final CompositeDisposable timers = new CompositeDisposable();
  private boolean stepRequested;
  private boolean draining;

  private BatchOwnership(
      String incarnation,
      SamplerClient samplers,
      BatchStore store,
      BatchDirectory directory,
      Scheduler scheduler,
      FleetState fleet,
      NodeRegistry nodes,
      EventLog log) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.fleet = checkNotNull(fleet, "fleet");
    this.nodes = checkNotNull(nodes, "nodes");
    this.log = checkNotNull(log, "log");
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.store = checkNotNull(store, "store");
    this.directory = checkNotNull(directory, "directory");
    this.context =
        new BatchContext(
            scheduler,
            fleet,
            store,
            samplers,
            log,
            incarnation,
            nodes::storeMillis,
            directory::remember,
            this::requestStep);
  }

  /** Starts to run batches and to take them over. */
  static BatchOwnership start(
      String incarnation,
      SamplerClient samplers,
      BatchStore store,
      BatchDirectory directory,
      Scheduler scheduler,
      FleetState fleet,
      NodeRegistry nodes,
      EventLog log) {
    BatchOwnership ownership =
        new BatchOwnership(incarnation, samplers, store, directory, scheduler, fleet, nodes, log);
    ownership.timers.add(directory.changes().subscribe(ownership::onHead));
    ownership.timers.add(Timers.every(scheduler, STEP_MILLIS, ownership::step));
    ownership.timers.add(Timers.every(scheduler, TAKEOVER_MILLIS, ownership::takeOver));
    return ownership;
  }

  /** Returns a token that no other write of any process has. */
  String nextToken() {
    return context.nextToken();
  }

  /** Returns whether no further batch is taken on. */
  boolean draining() {
    return draining;
  }

  /** Returns the submission of a batch that this process runs. */
  Optional<BatchSpec> spec(String id) {
    return Optional.ofNullable(owners.get(id)).map(BatchOwner::spec);
  }

  /** Runs a batch whose head names this process as the owner. */
  void run(BatchSpec spec, StoredHead head, ImmutableSet<String> listed) {
    directory.remember(head);
    owners.put(spec.id(), new BatchOwner(context, spec, head, listed));
    requestStep();
  }

  /** Starts no further work and gives the batches of this process up once their runs ended. */
  Completable drain(long timeoutMillis) {
    draining = true;
    owners.values().forEach(BatchOwner::drain);
    return Timers.until(
            scheduler, STEP_MILLIS, () -> owners.values().stream().allMatch(BatchOwner::drained))
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
        .onErrorComplete()
        .andThen(Completable.defer(this::releaseAll));
  }

  private Completable releaseAll() {
    return Flowable.fromIterable(ImmutableList.copyOf(owners.values()))
        .flatMapCompletable(
            owner ->
                owner
                    .release()
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
    timers.dispose();
    owners.values().forEach(owner -> owner.stop("process stops"));
  }

  private void onHead(StoredHead head) {
    BatchOwner owner = owners.get(head.head().id());
    if (owner != null) {
      owner.onHead(head);
    }
  }

  private void requestStep() {
    if (!stepRequested) {
      stepRequested = true;
      var unused = scheduler.scheduleDirect(this::step);
    }
  }

  private void step() {
    stepRequested = false;
    context.placement().retain(fleet.balancer().entries());
    // The batch that is due first takes places at samplers first.
    for (BatchOwner owner :
        ImmutableList.sortedCopyOf(
            Comparator.comparingLong(BatchOwner::acceptedAtMillis), owners.values())) {
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
    for (StoredHead stored : directory.all()) {
      BatchHead head = stored.head();
      if (!head.open() || owners.containsKey(head.id()) || changingHands.contains(head.id())) {
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

  /** Returns whether a batch was given up, or its owner is surely not among the living. */
  private boolean unowned(BatchHead head, ImmutableSet<String> alive) {
    if (head.owner().isEmpty() || nodes.replaced(head.owner().get())) {
      return true;
    }
    return nodes.reliable() && !alive.contains(head.owner().get());
  }

  private void claim(StoredHead stored) {
    BatchHead next = stored.head().withOwner(Optional.of(incarnation), context.nextToken());
    changingHands.add(next.id());
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
        store
            .replace(stored, next, ImmutableList.of())
            .doFinally(() -> changingHands.remove(next.id()))
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
    directory.remember(stored);
    changingHands.add(id);
    var unused =
        Single.zip(
                store.submission(stored.head()),
                store.listedIds(id),
                (spec, listed) -> {
                  if (spec.isEmpty()) {
                    log.warn("submission-missing", "batch", id);
                  } else if (!owners.containsKey(id)) {
                    run(spec.get(), stored, ImmutableSet.copyOf(listed));
                  }
                  return id;
                })
            .doFinally(() -> changingHands.remove(id))
            .subscribe(
                done -> {},
                error -> log.warn("adoption-failed", "batch", id, "cause", error.toString()));
  }
}
