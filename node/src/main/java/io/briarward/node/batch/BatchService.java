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
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * Accepts batches and answers questions about all of them, whoever runs them.
 *
 * <p>The process that accepts a batch runs it. When it dies, another takes the batch over and runs
 * what is not listed yet. Confined to the event loop.
 */
public final class BatchService implements AutoCloseable {
  /** How often a write whose answer was lost is resolved by sending it again. */
  private static final int WRITE_TRIES = 3;

  private final FleetState fleet;
  private final NodeRegistry nodes;
  private final EventLog log;
  private final String incarnation;
  private final BatchStore store;
  private final BatchDirectory directory;
  private final BatchOwnership ownership;
  private final BatchRetention retention;

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
    this.fleet = checkNotNull(fleet, "fleet");
    this.nodes = checkNotNull(nodes, "nodes");
    this.log = checkNotNull(log, "log");
    this.incarnation = settings.incarnation();
    this.store = new BatchStore(scheduler, ports.tables(), ports.objects(), ports.codec());
    this.directory = BatchDirectory.start(ports.feed(), scheduler, log, store);
    this.ownership =
        BatchOwnership.start(
            incarnation, ports.samplers(), store, directory, scheduler, fleet, nodes, log);
    this.retention =
        BatchRetention.start(
            settings.retentionMillis(), incarnation, store, directory, scheduler, nodes, log);
  }

  /** Starts to follow all batches and to run those of this process. */
  public static BatchService start(
      Settings settings,
      Ports ports,
      Scheduler scheduler,
      FleetState fleet,
      NodeRegistry nodes,
      EventLog log) {
    return new BatchService(settings, ports, scheduler, fleet, nodes, log);
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
    Optional<StoredHead> known = directory.known(spec.id());
    if (known.isPresent()) {
      boolean same = known.get().head().organisation().equals(organisation);
      return Single.just(same ? Submitted.ACCEPTED : Submitted.REFUSED);
    }
    if (ownership.draining() || !nodes.clockKnown()) {
      return Single.just(Submitted.REFUSED);
    }
    return store
        .putSubmission(spec.id(), bytes)
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
        versions(spec),
        spec.items().size(),
        0,
        false,
        Optional.of(incarnation),
        nodes.storeMillis(),
        ownership.nextToken());
  }

  private Optional<BatchVersions> versions(BatchSpec spec) {
    return spec.model()
        .flatMap(
            model ->
                Optional.ofNullable(fleet.announced().get(model))
                    .map(announced -> new BatchVersions(model, spec.minVersion(), announced)));
  }

  /** Returns how fresh the weights of each model must be for the batches that are known. */
  public ImmutableMap<String, FreshnessDemand> freshnessDemands() {
    return directory.freshnessDemands();
  }

  /**
   * Inserts a head, again after a lost answer, which takes effect once.
   *
   * @param unclear whether an earlier try may still take effect
   */
  private Single<Submitted> insert(BatchHead head, BatchSpec spec, int tries, boolean unclear) {
    return store
        .insert(head)
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
      ownership.run(spec, StoredHead.written(head, committed), ImmutableSet.of());
      return Submitted.ACCEPTED;
    }
    Optional<Row> present =
        ((CommitResult.Conflict) result).conflicts().get(BatchStore.headKey(head.id()));
    if (present == null || present.isEmpty()) {
      return Submitted.UNKNOWN;
    }
    StoredHead there = StoredHead.of(present.get());
    directory.remember(there);
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
   * Returns the body of an item; empty when there is no such item of the organisation.
   *
   * <p>Fails when the store does not answer.
   */
  public Single<Optional<byte[]>> itemBody(String id, String organisation, String itemId) {
    return directory
        .find(id, organisation)
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
      directory.remember(present);
      return Single.just(true);
    }
    BatchHead next = present.head().withEnded(ownership.nextToken());
    return store
        .replace(present, next, ImmutableList.of())
        .flatMap(
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                directory.remember(StoredHead.written(next, committed));
                return Single.just(true);
              }
              // The owner listed results meanwhile.
              return store.head(next.id()).flatMap(now -> end(now.orElseThrow()));
            });
  }

  private Single<Optional<BatchSpec>> spec(BatchHead head) {
    Optional<BatchSpec> running = ownership.spec(head.id());
    return running.isPresent() ? Single.just(running) : directory.spec(head);
  }

  /** Starts no further work and gives the batches of this process up once their runs ended. */
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
