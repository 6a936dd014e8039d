package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.CompetingBatches;
import io.briarward.core.memory.ByteBudget;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.vertx.core.buffer.Buffer;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Runs the batches that this process owns, and takes over those without a live owner.
 *
 * <p>Confined to the event loop.
 */
final class BatchOwnership implements AutoCloseable {
  private static final long STEP_INTERVAL_MILLIS = 50;
  private static final long IDLE_STEP_INTERVAL_MILLIS = 500;

  /** Two heartbeats and the probes of the other nodes take less. */
  private static final long MIN_SCORERS_LOST_MILLIS = 3_000;

  private final Scheduler scheduler;
  private final FleetState fleet;
  private final NodeRegistry nodes;
  private final EventLog log;
  private final BatchDirectory directory;
  private final BatchContext context;
  private final BatchDecoder decoder;
  private final ByteBudget submissionMemory;
  private final Map<String, BatchOwner> owners = new HashMap<>();
  private final Map<String, Long> lostSinceMillis = new HashMap<>();
  private final CompositeDisposable timers = new CompositeDisposable();
  private boolean stepPending;
  private boolean draining;

  private BatchOwnership(
      String incarnation,
      BatchService.Dependencies dependencies,
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
    this.directory = checkNotNull(directory, "directory");
    this.decoder = dependencies.decoder();
    this.submissionMemory = dependencies.submissionMemory();
    this.context =
        new BatchContext(
            scheduler,
            fleet,
            store,
            dependencies.samplers(),
            dependencies.rewards(),
            dependencies.metrics(),
            log,
            incarnation,
            nodes::storeMillis,
            directory,
            this::requestStep);
  }

  /** Starts to run this process's batches and to take over those without a live owner. */
  static BatchOwnership start(
      String incarnation,
      BatchService.Dependencies dependencies,
      BatchStore store,
      BatchDirectory directory,
      Scheduler scheduler,
      FleetState fleet,
      NodeRegistry nodes,
      EventLog log) {
    BatchOwnership ownership =
        new BatchOwnership(
            incarnation, dependencies, store, directory, scheduler, fleet, nodes, log);
    fleet
        .balancer()
        .setBatchNeed(
            sampler ->
                ownership.owners.values().stream()
                    .mapToDouble(owner -> owner.neededPerSecond(sampler))
                    .sum());
    ownership.timers.add(directory.changes().subscribe(ownership::onHead));
    ownership.timers.add(
        Timers.repeatedly(scheduler, ownership::stepIntervalMillis, ownership::step));
    ownership.timers.add(
        BatchTakeover.start(
            ownership.context, fleet, nodes, directory, ownership.new TakenOverBatches()));
    return ownership;
  }

  /** Returns a token that identifies one write among all writes of all processes. */
  String nextToken() {
    return context.nextToken();
  }

  /** Returns whether this process accepts and takes over no further batches. */
  boolean draining() {
    return draining;
  }

  /** Returns the submission of a batch if this process runs it. */
  Optional<BatchSpec> spec(String id) {
    return Optional.ofNullable(owners.get(id)).map(BatchOwner::spec);
  }

  /**
   * Decodes a submission; {@link #release} must follow.
   *
   * @throws IllegalArgumentException if {@code bytes} is malformed
   * @throws io.briarward.core.errors.FailureException if it does not fit beside the batches that
   *     this process keeps
   */
  LoadedBatch load(String id, Buffer bytes) {
    return LoadedBatch.decode(id, bytes, decoder, submissionMemory);
  }

  /** Gives the memory of a submission back unless this process runs its batch. */
  void release(LoadedBatch batch) {
    BatchOwner owner = owners.get(batch.spec().id());
    if (owner == null || owner.batch() != batch) {
      batch.close();
    }
  }

  /**
   * Runs a batch whose head names this process as the owner, unless it runs already.
   *
   * <p>The feed may tell of a batch that this process has just written before the store responds to
   * that write.
   *
   * @param recordedIds the ids of the items whose results are recorded already
   */
  void run(LoadedBatch batch, StoredHead head, ImmutableSet<String> recordedIds) {
    directory.update(head);
    owners.computeIfAbsent(
        batch.spec().id(), id -> new BatchOwner(context, batch, head, recordedIds));
    requestStep();
  }

  /**
   * Starts no further items, and releases this process's batches once their runs have ended.
   *
   * <p>Releases them after {@code timeoutMillis} even if runs are still in flight.
   */
  Completable drain(long timeoutMillis) {
    draining = true;
    owners.values().forEach(BatchOwner::drain);
    return Timers.until(
            scheduler,
            STEP_INTERVAL_MILLIS,
            () -> owners.values().stream().allMatch(BatchOwner::isDrained))
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
                    .doOnError(error -> logReleaseFailed(owner, error))
                    .onErrorComplete());
  }

  @Override
  public void close() {
    timers.dispose();
    owners.values().forEach(owner -> owner.stop("process is stopping"));
  }

  private void onHead(StoredHead head) {
    BatchOwner owner = owners.get(head.head().id());
    if (owner != null) {
      owner.onHead(head);
    }
  }

  /** A process without batches has nothing to do until one is accepted or taken over. */
  private long stepIntervalMillis() {
    return owners.isEmpty() ? IDLE_STEP_INTERVAL_MILLIS : STEP_INTERVAL_MILLIS;
  }

  private void requestStep() {
    if (!stepPending) {
      stepPending = true;
      var unused = scheduler.scheduleDirect(this::step);
    }
  }

  private void step() {
    stepPending = false;
    context.placement().retain(fleet.balancer().entries());
    Map<Boolean, List<BatchOwner>> byCompetition =
        owners.values().stream().collect(Collectors.partitioningBy(BatchOwner::competes));
    // The batch accepted first is given sampler slots first, unless samplers reject it.
    byCompetition.get(false).stream()
        .sorted(
            Comparator.comparingInt(BatchOwner::rejectionRank)
                .thenComparingLong(BatchOwner::acceptedAtMillis))
        .forEach(BatchOwner::step);
    stepCompeting(byCompetition.get(true));
    removeStopped();
  }

  private void removeStopped() {
    owners.values().stream()
        .filter(BatchOwner::stopped)
        .map(BatchOwner::batch)
        .forEach(LoadedBatch::close);
    owners.values().removeIf(BatchOwner::stopped);
  }

  /** Steps batches that compete for samplers; {@link CompetingBatches} decides whose turn it is. */
  private void stepCompeting(List<BatchOwner> competing) {
    competing.forEach(BatchOwner::beginStep);
    CompetingBatches.turns(competing.stream().map(BatchOwner::work).toList())
        .forEach(turn -> owners.get(turn.batchId()).startItems(turn.standing()));
    competing.forEach(BatchOwner::endStep);
  }

  /**
   * Releases the batches that need a service which another node reaches and this node does not.
   *
   * <p>The next owner runs again the texts that have no score yet, so a batch is released for the
   * loss of a service that scores them only once other nodes would have lost it too if it had
   * failed itself.
   */
  private void handOverUnreachable() {
    ImmutableSet<String> lost = fleet.balancer().cutOffServices();
    lostSinceMillis.keySet().retainAll(lost);
    lost.forEach(service -> lostSinceMillis.putIfAbsent(service, context.nowMillis()));
    for (BatchOwner owner : ImmutableList.copyOf(owners.values())) {
      Optional<String> service = neededLostService(owner);
      if (!owner.stopped()
          && service.isPresent()
          && nodes.reachedByOthers(ImmutableSet.of(owner.service(), service.get()))) {
        log.info("batch-handed-over", "batch", owner.spec().id(), "service", service.get());
        var unused =
            owner.release().subscribe(released -> {}, error -> logReleaseFailed(owner, error));
      }
    }
  }

  private Optional<String> neededLostService(BatchOwner owner) {
    if (lostSinceMillis.containsKey(owner.service())) {
      return Optional.of(owner.service());
    }
    long longEnoughMillis = context.nowMillis() - MIN_SCORERS_LOST_MILLIS;
    return owner.rewardServices().stream()
        .filter(
            service -> lostSinceMillis.getOrDefault(service, Long.MAX_VALUE) <= longEnoughMillis)
        .findFirst();
  }

  private final class TakenOverBatches implements BatchTakeover.Batches {
    @Override
    public boolean runs(String id) {
      return owners.containsKey(id);
    }

    @Override
    public boolean acceptsMore() {
      return !draining;
    }

    @Override
    public void onScan() {
      handOverUnreachable();
    }

    @Override
    public LoadedBatch load(String id, Buffer bytes) {
      return BatchOwnership.this.load(id, bytes);
    }

    @Override
    public void release(LoadedBatch batch) {
      BatchOwnership.this.release(batch);
    }

    @Override
    public void run(LoadedBatch batch, StoredHead head, ImmutableSet<String> recordedIds) {
      BatchOwnership.this.run(batch, head, recordedIds);
    }
  }

  private void logReleaseFailed(BatchOwner owner, Throwable error) {
    log.warn("batch-release-failed", "batch", owner.spec().id(), "cause", error.toString());
  }
}
