package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.TakeoverOrder;
import io.briarward.core.lease.WeightedCandidates;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Takes over batches without a live owner, and loads those that name this process as their owner
 * and do not run yet.
 *
 * <p>{@link TakeoverOrder} decides the order and how many are loaded at a time, {@link
 * WeightedCandidates} which process takes over a batch. A race is settled by the condition on the
 * row of the head, so processes with different views never run a batch together for longer than
 * until the next write. Confined to the event loop.
 */
final class BatchTakeover implements Disposable {
  private static final long MAX_SCAN_INTERVAL_MILLIS = 500;

  /** The interval until the configuration, the upstreams and the store's clock are known. */
  private static final long STARTING_SCAN_INTERVAL_MILLIS = 100;

  private final BatchContext context;
  private final FleetState fleet;
  private final NodeRegistry nodes;
  private final BatchDirectory directory;
  private final Batches batches;
  private final Set<String> loadingIds = new HashSet<>();
  private final Map<String, Long> retryAtMillis = new HashMap<>();
  private final CompositeDisposable subscriptions = new CompositeDisposable();
  private boolean scanPending;

  /**
   * How long a batch that could not be loaded does not count as waiting, so that it neither keeps
   * others from being loaded nor is read from the store again and again.
   */
  private static final long RETRY_DELAY_MILLIS = 500;

  /** The batches of this process. */
  interface Batches {
    /** Returns whether this process runs a batch. */
    boolean runs(String id);

    /** Returns whether this process takes over further batches. */
    boolean acceptsMore();

    /** Prepares a scan for batches to take over. */
    void onScan();

    /** Decodes a submission; {@link #release} must follow. */
    LoadedBatch load(String id, Buffer bytes);

    /** Gives the memory of a submission back unless this process runs its batch. */
    void release(LoadedBatch batch);

    /** Runs a batch whose head names this process as the owner. */
    void run(LoadedBatch batch, StoredHead head, ImmutableSet<String> recordedIds);
  }

  /** Why a batch is taken over. */
  private enum Reason {
    RELEASED,
    REPLACED,
    PRESUMED_DEAD
  }

  private BatchTakeover(
      BatchContext context,
      FleetState fleet,
      NodeRegistry nodes,
      BatchDirectory directory,
      Batches batches) {
    this.context = checkNotNull(context, "context");
    this.fleet = checkNotNull(fleet, "fleet");
    this.nodes = checkNotNull(nodes, "nodes");
    this.directory = checkNotNull(directory, "directory");
    this.batches = checkNotNull(batches, "batches");
  }

  /** Starts to take over batches. */
  static BatchTakeover start(
      BatchContext context,
      FleetState fleet,
      NodeRegistry nodes,
      BatchDirectory directory,
      Batches batches) {
    BatchTakeover takeover = new BatchTakeover(context, fleet, nodes, directory, batches);
    takeover.subscriptions.add(
        Timers.repeatedly(context.scheduler(), takeover::scanIntervalMillis, takeover::scan));
    takeover.subscriptions.add(nodes.processChanges().subscribe(unused -> takeover.requestScan()));
    takeover.subscriptions.add(directory.changes().subscribe(takeover::onHead));
    return takeover;
  }

  @Override
  public void dispose() {
    subscriptions.dispose();
  }

  @Override
  public boolean isDisposed() {
    return subscriptions.isDisposed();
  }

  /**
   * Returns the time until the next scan, so that the batches of a process are taken over as soon
   * as it is presumed dead. Scans read no row of the store.
   */
  private long scanIntervalMillis() {
    if (!ready()) {
      return STARTING_SCAN_INTERVAL_MILLIS;
    }
    return Math.min(
        MAX_SCAN_INTERVAL_MILLIS,
        Math.max(1, nodes.millisUntilNextPresumedDead().orElse(MAX_SCAN_INTERVAL_MILLIS)));
  }

  private boolean ready() {
    return fleet.known() && nodes.clockKnown();
  }

  private void onHead(StoredHead stored) {
    BatchHead head = stored.head();
    if (head.isOpen() && head.owner().map(nodes::replaced).orElse(true)) {
      requestScan();
    }
  }

  private void requestScan() {
    if (!scanPending) {
      scanPending = true;
      var unused =
          context
              .scheduler()
              .scheduleDirect(
                  () -> {
                    scanPending = false;
                    scan();
                  });
    }
  }

  /** Loads the next batches of this process and claims the next ones without a live owner. */
  private void scan() {
    if (isDisposed() || !batches.acceptsMore() || !ready()) {
      return;
    }
    batches.onScan();
    retryAtMillis.values().removeIf(retryAt -> retryAt <= context.nowMillis());
    ImmutableSet<String> alive = nodes.alive();
    List<BatchHead> waiting = new ArrayList<>();
    for (StoredHead stored : directory.cachedHeads()) {
      BatchHead head = stored.head();
      if (head.isOpen()
          && !batches.runs(head.id())
          && !loadingIds.contains(head.id())
          && !retryAtMillis.containsKey(head.id())
          && (head.isOwnedBy(context.incarnation()) || isOurs(head, alive))) {
        waiting.add(head);
      }
    }
    for (BatchHead head :
        TakeoverOrder.next(waiting, loadingIds.size(), context.storeTimeMillis())) {
      StoredHead stored = directory.cachedHead(head.id()).orElseThrow();
      if (head.isOwnedBy(context.incarnation())) {
        loadAndRun(stored);
      } else {
        claim(stored, waiting.size());
      }
    }
  }

  /** Returns whether a batch has no live owner and this process is selected to take it over. */
  private boolean isOurs(BatchHead head, ImmutableSet<String> alive) {
    return reason(head, alive).isPresent()
        && WeightedCandidates.choose(head.id(), nodes.bestPlaced(head.terms().service()))
            .equals(Optional.of(context.incarnation()));
  }

  /** Returns why a batch has no live owner; empty if it may have one. */
  private Optional<Reason> reason(BatchHead head, ImmutableSet<String> alive) {
    if (head.owner().isEmpty()) {
      return Optional.of(Reason.RELEASED);
    }
    if (nodes.replaced(head.owner().get())) {
      return Optional.of(Reason.REPLACED);
    }
    return nodes.reliable() && !alive.contains(head.owner().get())
        ? Optional.of(Reason.PRESUMED_DEAD)
        : Optional.empty();
  }

  /** Makes this process the owner unless another process has changed the head. */
  private void claim(StoredHead stored, int waiting) {
    BatchHead next =
        stored.head().withOwner(Optional.of(context.incarnation()), context.nextToken());
    loadingIds.add(next.id());
    logClaim(stored.head(), waiting);
    var unused =
        context
            .store()
            .replace(stored, next, ImmutableList.of())
            .subscribe(
                result -> onClaimed(next, result),
                error -> {
                  context
                      .log()
                      .warn("takeover-failed", "batch", next.id(), "cause", error.toString());
                  onNotLoaded(next.id());
                });
  }

  private void onClaimed(BatchHead next, CommitResult result) {
    if (result instanceof CommitResult.Committed committed) {
      loadAndRun(StoredHead.written(next, committed));
      return;
    }
    Optional<Row> present =
        ((CommitResult.Conflict) result).conflicts().get(BatchStore.headKey(next.id()));
    if (present != null && present.isPresent()) {
      directory.update(StoredHead.of(present.get()));
    }
    onNotLoaded(next.id());
  }

  private void logClaim(BatchHead head, int waiting) {
    ImmutableMap<String, OptionalDouble> candidates = nodes.bestPlaced(head.terms().service());
    String reason = reason(head, nodes.alive()).map(Enum::name).orElse("NONE");
    context.metrics().batchTakenOver(reason);
    context
        .log()
        .info(
            "batch-takeover",
            "batch",
            head.id(),
            "from",
            head.owner().orElse("nobody"),
            "listed",
            head.listed(),
            "total",
            head.total(),
            "storeAgeMillis",
            nodes.storeAgeMillis(),
            "reason",
            reason,
            "dueInMillis",
            head.dueAtMillis() - context.storeTimeMillis(),
            "waiting",
            waiting,
            "loading",
            loadingIds.size(),
            "candidates",
            candidates.size(),
            "candidatesWithCapacity",
            candidates.values().stream().filter(OptionalDouble::isPresent).count(),
            "ownCapacity",
            candidates.getOrDefault(context.incarnation(), OptionalDouble.empty()).stream()
                .boxed()
                .map(String::valueOf)
                .findFirst()
                .orElse("none"));
  }

  /** Handles a claim or a load that failed; the next batch can be loaded. */
  private void onNotLoaded(String id) {
    loadingIds.remove(id);
    retryAtMillis.put(id, context.nowMillis() + RETRY_DELAY_MILLIS);
    requestScan();
  }

  private void onLoaded(String id) {
    if (batches.runs(id)) {
      loadingIds.remove(id);
      requestScan();
    } else {
      onNotLoaded(id);
    }
  }

  /** Loads and runs a batch whose head names this process as the owner. */
  private void loadAndRun(StoredHead stored) {
    String id = stored.head().id();
    directory.update(stored);
    loadingIds.add(id);
    var unused =
        Single.zip(
                context.store().submissionBytes(stored.head()),
                listedItemIds(id),
                (bytes, listedIds) -> {
                  if (bytes.isEmpty()) {
                    context.log().warn("submission-missing", "batch", id);
                  } else if (!batches.runs(id)) {
                    loadAndRunIfStillOwned(id, bytes.get(), listedIds);
                  }
                  return id;
                })
            .subscribe(
                this::onLoaded,
                error -> {
                  context.log().warn("adoption-failed", "batch", id, "cause", error.toString());
                  onNotLoaded(id);
                });
  }

  private void loadAndRunIfStillOwned(String id, Buffer bytes, ImmutableList<String> listedIds) {
    LoadedBatch batch = batches.load(id, bytes);
    try {
      runIfStillOwned(batch, listedIds);
    } finally {
      batches.release(batch);
    }
  }

  /** Reads the id of the item at each listed position, and then the head that lists them. */
  private Single<ImmutableList<String>> listedItemIds(String id) {
    return context
        .store()
        .recordedItemIds(id)
        .flatMap(listedIds -> directory.read(id).map(unused -> listedIds));
  }

  /**
   * Runs a loaded batch unless it was ended, removed or taken over while it was read, or more items
   * were listed; it is then loaded again if this process still owns it.
   *
   * @param listedIds the id of the item at each listed position
   */
  private void runIfStillOwned(LoadedBatch batch, ImmutableList<String> listedIds) {
    String id = batch.spec().id();
    ImmutableSet<String> recordedIds = ImmutableSet.copyOf(listedIds);
    Optional<StoredHead> newest =
        directory
            .cachedHead(id)
            .filter(head -> head.head().isOpen())
            .filter(head -> head.head().isOwnedBy(context.incarnation()))
            .filter(head -> head.head().listed() == listedIds.size());
    newest
        .filter(head -> recordedIds.size() < listedIds.size())
        .ifPresent(
            head ->
                context
                    .log()
                    .warn(
                        "items-listed-twice",
                        "batch",
                        id,
                        "positions",
                        head.head().listed(),
                        "items",
                        recordedIds.size()));
    newest.ifPresent(head -> batches.run(batch, head, recordedIds));
    context
        .log()
        .info(
            newest.isPresent() ? "batch-adopted" : "batch-not-adopted",
            "batch",
            id,
            "rowVersion",
            directory.cachedHead(id).map(StoredHead::rowVersion).orElse(0L),
            "listed",
            directory.cachedHead(id).map(stored -> stored.head().listed()).orElse(0),
            "read",
            listedIds.size());
  }
}
