package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.BatchTerms;
import io.briarward.core.batch.BatchVersions;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.fleet.FeedPause;
import io.briarward.core.memory.ByteBudget;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.weights.FreshnessDemand;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ObjectStore;
import io.briarward.node.platform.PlatformException;
import io.briarward.node.platform.TableService;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * Accepts batches and serves the results of all batches, whichever process runs them.
 *
 * <p>The process that accepts a batch runs it. If that process fails, another takes the batch over
 * and runs the items whose results are not recorded. Confined to the event loop.
 */
public final class BatchService implements AutoCloseable {
  /**
   * The maximum number of attempts to insert a head. A retry shows whether an attempt whose
   * response was lost took effect.
   */
  private static final int MAX_INSERT_ATTEMPTS = 3;

  private final FleetState fleet;
  private final NodeRegistry nodes;
  private final EventLog log;
  private final String incarnation;
  private final BatchStore store;
  private final SubmissionReader submissions;
  private final BatchDirectory directory;
  private final BatchOwnership ownership;
  private final BatchRetention retention;

  /**
   * What a service needs of the platform, of samplers and of its process.
   *
   * @param submissionMemory the memory of all submissions that the process keeps
   */
  public record Dependencies(
      TableService tables,
      ObjectStore objects,
      ChangeFeed feed,
      BatchDecoder decoder,
      ByteBudget submissionMemory,
      SamplerClient samplers,
      RewardClient rewards,
      Metrics metrics) {
    /** Validates the components. */
    public Dependencies {
      checkNotNull(tables, "tables");
      checkNotNull(objects, "objects");
      checkNotNull(feed, "feed");
      checkNotNull(decoder, "decoder");
      checkNotNull(submissionMemory, "submissionMemory");
      checkNotNull(samplers, "samplers");
      checkNotNull(rewards, "rewards");
      checkNotNull(metrics, "metrics");
    }
  }

  /**
   * The settings of a service.
   *
   * @param incarnation unique to this process
   * @param retentionMillis how long a batch that is complete or ended is kept after it was accepted
   */
  public record Settings(String incarnation, long retentionMillis) {
    /** Validates the components. */
    public Settings {
      checkNotNull(incarnation, "incarnation");
    }
  }

  private BatchService(
      Settings settings,
      Dependencies dependencies,
      Scheduler scheduler,
      FleetState fleet,
      NodeRegistry nodes,
      EventLog log) {
    this.fleet = checkNotNull(fleet, "fleet");
    this.nodes = checkNotNull(nodes, "nodes");
    this.log = checkNotNull(log, "log");
    this.incarnation = settings.incarnation();
    this.store = new BatchStore(scheduler, dependencies.tables(), dependencies.objects());
    this.submissions = new SubmissionReader(store, dependencies.decoder());
    this.directory =
        BatchDirectory.start(
            dependencies.feed(),
            scheduler,
            log,
            store,
            () -> FeedPause.ofNodesMillis(nodes.aliveCount()));
    this.ownership =
        BatchOwnership.start(
            incarnation, dependencies, store, directory, scheduler, fleet, nodes, log);
    this.retention =
        BatchRetention.start(
            settings.retentionMillis(), incarnation, store, directory, scheduler, nodes, log);
  }

  /** Starts to follow all batches and to run those that this process owns. */
  public static BatchService start(
      Settings settings,
      Dependencies dependencies,
      Scheduler scheduler,
      FleetState fleet,
      NodeRegistry nodes,
      EventLog log) {
    return new BatchService(settings, dependencies, scheduler, fleet, nodes, log);
  }

  /** The outcome of a submission. */
  public enum SubmitOutcome {
    /** The batch is stored and will run. */
    ACCEPTED,
    /** The submission was rejected; it runs no item of the batch, now or later. */
    REFUSED,
    /** Whether the batch was accepted is not known. */
    UNKNOWN
  }

  /**
   * Consecutive results of a batch.
   *
   * @param total the number of items of the batch
   * @param next the position after the last result, from which to continue
   */
  public record ResultPage(int total, int next, ImmutableList<ItemResult> results) {}

  /**
   * Decodes a submission, for {@link #submit}; call {@link #release} after that.
   *
   * @throws IllegalArgumentException if {@code bytes} is malformed
   * @throws io.briarward.core.errors.FailureException if it does not fit beside the batches that
   *     this process keeps
   */
  public LoadedBatch load(String id, Buffer bytes) {
    return ownership.load(id, bytes);
  }

  /** Gives the memory of a submission back unless this process runs its batch. */
  public void release(LoadedBatch batch) {
    ownership.release(batch);
  }

  /**
   * Accepts a batch. Idempotent.
   *
   * @param bytes the submission as the caller sent it, which is stored
   * @param terms the terms that the route grants
   */
  public Single<SubmitOutcome> submit(
      LoadedBatch batch, Buffer bytes, String organisation, BatchTerms terms) {
    BatchSpec spec = batch.spec();
    Optional<StoredHead> known = directory.cachedHead(spec.id());
    if (known.isPresent()) {
      boolean same = known.get().head().organisation().equals(organisation);
      return Single.just(same ? SubmitOutcome.ACCEPTED : SubmitOutcome.REFUSED);
    }
    if (ownership.draining() || !nodes.clockKnown()) {
      return Single.just(SubmitOutcome.REFUSED);
    }
    return Single.zip(
            store.putSubmission(spec.id(), bytes),
            nodes.readStoreClock(),
            (name, storeMillis) -> newHead(spec, organisation, terms, name, storeMillis))
        .flatMap(head -> insert(head, batch, MAX_INSERT_ATTEMPTS, false))
        .onErrorReturn(
            error -> {
              log.warn("batch-refused", "batch", spec.id(), "cause", error.toString());
              return SubmitOutcome.REFUSED;
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
      BatchSpec spec,
      String organisation,
      BatchTerms terms,
      String submission,
      long acceptedAtMillis) {
    return new BatchHead(
        spec.id(),
        organisation,
        submission,
        terms,
        versions(spec),
        spec.items().size(),
        0,
        false,
        Optional.of(incarnation),
        acceptedAtMillis,
        ownership.nextToken());
  }

  private Optional<BatchVersions> versions(BatchSpec spec) {
    return spec.model()
        .flatMap(
            model ->
                Optional.ofNullable(fleet.announced().get(model))
                    .map(announced -> new BatchVersions(model, spec.minVersion(), announced)));
  }

  /** Returns the freshness that the known batches demand of each model's weights. */
  public ImmutableMap<String, FreshnessDemand> freshnessDemands() {
    return directory.freshnessDemands();
  }

  /**
   * Inserts a head, retrying after a failure; the insert takes effect at most once.
   *
   * @param attemptsLeft the number of attempts, including this one
   * @param mayTakeEffect whether an earlier attempt may still take effect
   */
  private Single<SubmitOutcome> insert(
      BatchHead head, LoadedBatch batch, int attemptsLeft, boolean mayTakeEffect) {
    return store
        .insert(head)
        .map(result -> onInserted(head, batch, result))
        .onErrorResumeNext(
            error -> {
              log.warn("batch-insert-failed", "batch", head.id(), "cause", error.toString());
              boolean stillMayTakeEffect = mayTakeEffect || !PlatformException.hadNoEffect(error);
              if (attemptsLeft > 1) {
                return insert(head, batch, attemptsLeft - 1, stillMayTakeEffect);
              }
              return Single.just(
                  stillMayTakeEffect ? SubmitOutcome.UNKNOWN : SubmitOutcome.REFUSED);
            });
  }

  private SubmitOutcome onInserted(BatchHead head, LoadedBatch batch, CommitResult result) {
    if (result instanceof CommitResult.Committed committed) {
      ownership.run(batch, StoredHead.written(head, committed), ImmutableSet.of());
      return SubmitOutcome.ACCEPTED;
    }
    Optional<Row> present =
        ((CommitResult.Conflict) result).conflicts().get(BatchStore.headKey(head.id()));
    if (present == null || present.isEmpty()) {
      return SubmitOutcome.UNKNOWN;
    }
    StoredHead stored = StoredHead.of(present.get());
    directory.update(stored);
    return stored.head().organisation().equals(head.organisation())
        ? SubmitOutcome.ACCEPTED
        : SubmitOutcome.REFUSED;
  }

  /**
   * Returns the results from position {@code after} on, and waits for one if there is none.
   *
   * <p>Returns empty if the organisation has no such batch. Fails if the store does not respond.
   *
   * @param waitMillis the longest wait; a page without results is returned after it
   */
  public Single<Optional<ResultPage>> results(
      String id, String organisation, int after, long waitMillis) {
    return directory
        .find(id, organisation)
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
    return directory
        .awaitListed(head.id(), after, waitMillis)
        .flatMap(
            now ->
                now.listed() > after
                    ? page(now, after)
                    : Single.just(new ResultPage(now.total(), after, ImmutableList.of())));
  }

  private Single<ResultPage> page(BatchHead head, int after) {
    return store
        .results(head.id(), after)
        .map(results -> new ResultPage(head.total(), after + results.size(), results));
  }

  /**
   * Returns the body of an item, or empty if the organisation has no such item.
   *
   * <p>Fails if the store does not respond.
   */
  public Single<Optional<byte[]>> itemBody(String id, String organisation, String itemId) {
    return directory
        .find(id, organisation)
        .flatMap(
            found ->
                found.isEmpty() ? Single.just(Optional.empty()) : itemBody(found.get(), itemId));
  }

  private Single<Optional<byte[]>> itemBody(BatchHead head, String itemId) {
    Optional<BatchSpec> running = ownership.spec(head.id());
    return running.isPresent()
        ? Single.just(running.get().item(itemId).map(BatchItem::body))
        : submissions.itemBody(head, itemId);
  }

  /**
   * Ends a batch and returns true, or returns false if the organisation has no such batch.
   *
   * <p>Idempotent. Fails if the store does not respond; whether the batch was ended is then
   * unknown.
   */
  public Single<Boolean> end(String id, String organisation) {
    return store
        .head(id)
        .flatMap(
            found ->
                found.filter(each -> each.head().organisation().equals(organisation)).isEmpty()
                    ? Single.just(false)
                    : end(found.get()));
  }

  private Single<Boolean> end(StoredHead present) {
    if (present.head().ended()) {
      directory.update(present);
      return Single.just(true);
    }
    BatchHead next = present.head().withEnded(ownership.nextToken());
    return store
        .replace(present, next, ImmutableList.of())
        .flatMap(
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                directory.update(StoredHead.written(next, committed));
                return Single.just(true);
              }
              // Another process has changed the head, for example by recording results.
              return store.head(next.id()).flatMap(now -> end(now.orElseThrow()));
            });
  }

  /**
   * Starts no further items, and releases this process's batches once their runs have ended.
   *
   * <p>Releases them after {@code timeoutMillis} even if runs are still in flight.
   */
  public Completable drain(long timeoutMillis) {
    return ownership.drain(timeoutMillis);
  }

  @Override
  public void close() {
    retention.close();
    directory.close();
    ownership.close();
  }
}
