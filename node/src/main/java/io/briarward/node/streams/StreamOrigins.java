package io.briarward.node.streams;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.briarward.core.lease.DutyCandidates;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.RowPage;
import io.briarward.core.streams.OriginHistory;
import io.briarward.core.streams.StreamOrigin;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.platform.PacedRowWriter;
import io.briarward.node.platform.TableService;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Records at which software version each resumable stream began, so that any node can continue it
 * there.
 *
 * <p>A caller takes a broken stream up at any node, also once the node that began it is gone, so
 * the origins are rows of the store. Nothing is recorded while this node has seen one software
 * version only for longer than a stream lasts; once it sees another one, it records what it has not
 * recorded yet. A stream without a record has an unknown origin, unless this node has seen one
 * version only as well and the store confirms that the node missed no other. Confined to the event
 * loop.
 */
public final class StreamOrigins implements AutoCloseable {
  /** The table of origins, with one row per stream. */
  public static final String TABLE = "streams";

  /**
   * The interval between writes, for each live node; all nodes together write 100 times a second.
   */
  private static final long WRITE_INTERVAL_PER_NODE_MILLIS = 10;

  private static final int MAX_ROWS_PER_WRITE = 90; // The platform's limit is 100 entries.

  /** The number of rows that wait to be written; the origins of more streams are not shared. */
  private static final int MAX_PENDING_ROWS = 2_000;

  /** The number of streams that this node remembers itself; the oldest are forgotten first. */
  private static final int MAX_REMEMBERED = 16_384;

  /** How long a request waits for the origin of its stream; many times the store's usual answer. */
  private static final long READ_TIMEOUT_MILLIS = 500;

  /** The delay of a confirmation, in which further requests join it; bounds the rate of reads. */
  private static final long CONFIRMATION_DELAY_MILLIS = 20;

  /** The interval at which origins that became worth recording are passed to the writer. */
  private static final long SHARE_INTERVAL_MILLIS = 200;

  private static final long REMOVAL_INTERVAL_MILLIS = 30_000;
  private static final int ROWS_PER_SCAN = 500;

  private final TableService tables;
  private final NodeRegistry nodes;
  private final FleetState fleet;
  private final Supplier<Single<ImmutableList<Change>>> unseenChanges;
  private final Scheduler scheduler;
  private final EventLog log;
  private final String incarnation;
  private final PacedRowWriter<Begun> writer;
  private final Map<RowKey, StreamOrigin> remembered = new BoundedMap<>();
  private final Map<RowKey, Begun> unshared = new BoundedMap<>();
  private Optional<Single<ImmutableList<Change>>> nextConfirmation = Optional.empty();
  private Optional<String> removedUpToKey = Optional.empty();
  private Disposable shareTimer = Disposable.disposed();
  private Disposable removalTimer = Disposable.disposed();

  /** A map in the order of insertion that forgets the oldest entries. */
  private static final class BoundedMap<V> extends LinkedHashMap<RowKey, V> {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<RowKey, V> eldest) {
      return size() > MAX_REMEMBERED;
    }
  }

  /** A stream's origin and when it began, on the node's monotonic clock. */
  private record Begun(StreamOrigin origin, long atMillis) {}

  private StreamOrigins(
      TableService tables,
      NodeRegistry nodes,
      FleetState fleet,
      Supplier<Single<ImmutableList<Change>>> unseenChanges,
      Scheduler scheduler,
      EventLog log,
      String incarnation) {
    this.tables = checkNotNull(tables, "tables");
    this.nodes = checkNotNull(nodes, "nodes");
    this.fleet = checkNotNull(fleet, "fleet");
    this.unseenChanges = checkNotNull(unseenChanges, "unseenChanges");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.writer =
        new PacedRowWriter<>(
            tables,
            scheduler,
            log,
            new PacedRowWriter.Settings("stream-origin-write-failed", MAX_ROWS_PER_WRITE),
            () -> WRITE_INTERVAL_PER_NODE_MILLIS * nodes.alive().size(),
            nodes::clockKnown,
            this::encode);
  }

  /**
   * Starts to record origins and to remove old records.
   *
   * @param unseenChanges reads the changes of registrations that the fleet's view lacks
   * @param incarnation the incarnation of this process, unique among all processes
   */
  public static StreamOrigins start(
      TableService tables,
      NodeRegistry nodes,
      FleetState fleet,
      Supplier<Single<ImmutableList<Change>>> unseenChanges,
      Scheduler scheduler,
      EventLog log,
      String incarnation) {
    StreamOrigins origins =
        new StreamOrigins(tables, nodes, fleet, unseenChanges, scheduler, log, incarnation);
    origins.shareTimer = Timers.every(scheduler, SHARE_INTERVAL_MILLIS, origins::onShareInterval);
    origins.removalTimer =
        Timers.every(scheduler, REMOVAL_INTERVAL_MILLIS, origins::removeOldRecords);
    return origins;
  }

  /**
   * Handles a stream that an upstream began.
   *
   * @param organisation the organisation of the caller; empty on an open route
   * @param requestId the id of the request
   */
  public void onBegun(Optional<String> organisation, String requestId, StreamOrigin origin) {
    RowKey key = rowKey(organisation, requestId);
    remembered.put(key, origin);
    Begun begun = new Begun(origin, nowMillis());
    if (isSole(origin)) {
      unshared.put(key, begun);
    } else if (writer.pendingRows() < MAX_PENDING_ROWS) {
      writer.put(key, begun);
    } else {
      log.warn("stream-origin-not-shared", "id", requestId, "pendingRows", writer.pendingRows());
    }
  }

  private boolean isSole(StreamOrigin origin) {
    return fleet.soleOrigin(ImmutableSet.of(origin.service())).equals(Optional.of(origin));
  }

  private void onShareInterval() {
    shareOrigins();
    removedUpToKey
        .filter(unused -> writer.pendingRows() < ROWS_PER_SCAN)
        .ifPresent(this::removeOldRecords);
  }

  /** Records streams from before a second version was seen, since other nodes cannot infer them. */
  private void shareOrigins() {
    long sinceMillis = nowMillis() - OriginHistory.MAX_STREAM_AGE_MILLIS;
    unshared.values().removeIf(begun -> begun.atMillis() < sinceMillis);
    ImmutableSet<StreamOrigin> notSole =
        unshared.values().stream()
            .map(Begun::origin)
            .distinct()
            .filter(origin -> !isSole(origin))
            .collect(ImmutableSet.toImmutableSet());
    ImmutableList<RowKey> keys =
        unshared.entrySet().stream()
            .filter(entry -> notSole.contains(entry.getValue().origin()))
            .map(Map.Entry::getKey)
            .limit(Math.max(0, MAX_PENDING_ROWS - writer.pendingRows()))
            .collect(ImmutableList.toImmutableList());
    keys.forEach(key -> writer.put(key, unshared.remove(key)));
  }

  /**
   * Returns the origin of a stream; empty if it is not known.
   *
   * @param organisation the organisation of the caller; empty on an open route
   * @param firstRequestId the id of the request that brought the stream's first event
   * @param services the services at which the stream may have begun
   */
  public Single<Optional<StreamOrigin>> find(
      Optional<String> organisation, String firstRequestId, ImmutableSet<String> services) {
    RowKey key = rowKey(organisation, firstRequestId);
    StreamOrigin local = remembered.get(key);
    if (local != null) {
      return Single.just(Optional.of(local));
    }
    return tables
        .read(key)
        .timeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler)
        .observeOn(scheduler)
        .flatMap(
            row ->
                row.isPresent() ? Single.just(row.map(StreamOrigins::decode)) : findSole(services))
        .onErrorReturn(
            error -> {
              log.warn("stream-origin-not-read", "id", firstRequestId, "cause", error.toString());
              return Optional.empty();
            });
  }

  /**
   * Returns the origin of all streams of the services, if this node can tell that it is one.
   *
   * <p>This node's view of the registrations may be older than it seems, so the store must confirm
   * that it lacks no other version. Another node learned of a version before it used it there.
   */
  public Single<Optional<StreamOrigin>> findSole(ImmutableSet<String> services) {
    if (fleet.soleOrigin(services).isEmpty()) {
      return Single.just(Optional.empty());
    }
    return nextConfirmation()
        .map(unseen -> fleet.soleOrigin(services, unseen))
        .onErrorReturn(
            error -> {
              log.warn("stream-origin-not-confirmed", "cause", error.toString());
              return Optional.empty();
            });
  }

  /** Returns a read that has not started yet, which all requests until then share. */
  private Single<ImmutableList<Change>> nextConfirmation() {
    if (nextConfirmation.isEmpty()) {
      nextConfirmation =
          Optional.of(
              Single.timer(CONFIRMATION_DELAY_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                  .flatMap(
                      unused -> {
                        nextConfirmation = Optional.empty();
                        return unseenChanges
                            .get()
                            .timeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, scheduler);
                      })
                  .observeOn(scheduler)
                  .cache());
    }
    return nextConfirmation.get();
  }

  @Override
  public void close() {
    shareTimer.dispose();
    removalTimer.dispose();
    writer.close();
  }

  /** Callers choose the ids of their requests, so those of two organisations may be equal. */
  private static RowKey rowKey(Optional<String> organisation, String requestId) {
    String hash =
        Hashing.sha256()
            .hashString(organisation.orElse("") + '\n' + requestId, StandardCharsets.UTF_8)
            .toString();
    return RowKey.of(TABLE, hash.substring(0, 32));
  }

  private JsonNode encode(Begun begun) {
    long ageMillis = nowMillis() - begun.atMillis();
    return JsonNodeFactory.instance
        .objectNode()
        .put("service", begun.origin().service())
        .put("software", begun.origin().softwareVersion())
        .put("atMillis", nodes.latestStoreMillis() - ageMillis);
  }

  private static StreamOrigin decode(Row row) {
    return new StreamOrigin(
        row.value().path("service").asText(), row.value().path("software").asText());
  }

  /** Removes old records, at the one of the live nodes that a hash selects. */
  private void removeOldRecords() {
    boolean selected = DutyCandidates.choose(TABLE, nodes.alive(), 1).contains(incarnation);
    if (selected && nodes.clockKnown() && removedUpToKey.isEmpty()) {
      removeOldRecords("");
    }
  }

  private void removeOldRecords(String after) {
    removedUpToKey = Optional.empty();
    var unused =
        tables
            .scan(TABLE, "", after, ROWS_PER_SCAN)
            .observeOn(scheduler)
            .subscribe(
                this::removeOld,
                error -> log.info("stream-origins-not-removed", "cause", error.toString()));
  }

  private void removeOld(RowPage page) {
    long sinceMillis = nodes.storeMillis() - OriginHistory.MAX_STREAM_AGE_MILLIS;
    page.rows().stream()
        .filter(row -> row.value().path("atMillis").asLong() < sinceMillis)
        .forEach(row -> writer.delete(RowKey.of(TABLE, row.key())));
    // The next rows follow once these are deleted, so that new origins do not wait long.
    removedUpToKey = page.nextAfter();
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
