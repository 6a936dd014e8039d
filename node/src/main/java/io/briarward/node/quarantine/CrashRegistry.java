package io.briarward.node.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.lease.DutyCandidates;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.quarantine.Quarantine;
import io.briarward.core.quarantine.Quarantine.Crash;
import io.briarward.core.quarantine.RequestFingerprint;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.platform.PacedRowWriter;
import io.briarward.node.platform.TableService;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Records which upstreams ended while they ran which requests, for all nodes.
 *
 * <p>Each crash is a row of the store, so a request is quarantined on all nodes soon after the last
 * crash that it may cause, and stays so while processes restart. While the store does not accept
 * writes, a node counts the crashes that it saw itself. Confined to the event loop.
 */
public final class CrashRegistry implements AutoCloseable {
  /** The table of crashes, with one row per request and upstream. */
  public static final String TABLE = "crashes";

  /** Bounds the rate of calls for changes; a crash is known to all nodes soon after it. */
  private static final long WATCH_PAUSE_MILLIS = 50;

  /**
   * The interval between writes, for each live node; all nodes together write 50 times a second.
   */
  private static final long WRITE_INTERVAL_PER_NODE_MILLIS = 20;

  private static final int MAX_ROWS_PER_WRITE = 50; // The platform's limit is 100 entries.

  /** The number of rows that wait to be written; more are only counted on this node. */
  private static final int MAX_PENDING_ROWS = 1_000;

  private static final long EXPIRY_INTERVAL_MILLIS = 10_000;

  private final NodeRegistry nodes;
  private final Scheduler scheduler;
  private final EventLog log;
  private final String incarnation;
  private final Quarantine quarantine = Quarantine.create();
  private final PacedRowWriter<LocalCrash> writer;
  private final Map<String, Crash> crashByKey = new HashMap<>(); // Those that have a row.
  private TableWatch watch;
  private Disposable expiryTimer = Disposable.disposed();

  /** A crash and when this node saw it, on the node's monotonic clock. */
  private record LocalCrash(Crash crash, long atMillis) {}

  private CrashRegistry(
      TableService tables,
      NodeRegistry nodes,
      Scheduler scheduler,
      EventLog log,
      String incarnation) {
    this.nodes = checkNotNull(nodes, "nodes");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.writer =
        new PacedRowWriter<>(
            tables,
            scheduler,
            log,
            new PacedRowWriter.Settings("crash-write-failed", MAX_ROWS_PER_WRITE),
            () -> WRITE_INTERVAL_PER_NODE_MILLIS * nodes.alive().size(),
            () -> watch.clockKnown(),
            this::encode);
  }

  /**
   * Starts to follow the crashes that all nodes record.
   *
   * @param incarnation the incarnation of this process, unique among all processes
   */
  public static CrashRegistry start(
      TableService tables,
      ChangeFeed feed,
      NodeRegistry nodes,
      Scheduler scheduler,
      EventLog log,
      String incarnation) {
    CrashRegistry registry = new CrashRegistry(tables, nodes, scheduler, log, incarnation);
    registry.watch =
        TableWatch.start(feed, scheduler, log, TABLE, WATCH_PAUSE_MILLIS, registry.listener());
    registry.expiryTimer = Timers.every(scheduler, EXPIRY_INTERVAL_MILLIS, registry::removeExpired);
    return registry;
  }

  /**
   * Returns whether a request may be sent to an upstream.
   *
   * <p>A quarantined request may not, but for a trial that is due. Of the live nodes, the one that
   * the request's hash selects tries it, and counts the trial as started.
   *
   * @param fingerprint called only if any crash is known
   */
  public boolean permits(Supplier<RequestFingerprint> fingerprint) {
    if (quarantine.isEmpty() || !quarantine.contains(fingerprint.get(), nowMillis())) {
      return true;
    }
    RequestFingerprint request = fingerprint.get();
    boolean trial =
        quarantine.isTrialDue(request, nowMillis())
            && DutyCandidates.choose(request.hex(), nodes.alive(), 1).contains(incarnation);
    if (trial) {
      quarantine.onTrial(request, nowMillis());
      log.info(
          "quarantine-trial", "request", request, "crashes", quarantine.crashes(request).size());
    }
    return trial;
  }

  /** Handles a connection to an upstream that broke while the upstream ran a request. */
  public void onCrash(RequestFingerprint fingerprint, UpstreamEntry upstream) {
    Crash crash = new Crash(fingerprint, upstream.instanceKey());
    if (add(crash, nowMillis())) {
      put(crash, nowMillis());
    }
  }

  /** Handles a complete response to a request, which shows that it does not end upstreams. */
  public void onCompleted(Supplier<RequestFingerprint> fingerprint) {
    if (quarantine.isEmpty()) {
      return;
    }
    ImmutableSet<Crash> crashes = quarantine.crashes(fingerprint.get());
    crashes.forEach(this::delete);
    if (!crashes.isEmpty()) {
      log.info("request-cleared", "request", fingerprint.get(), "crashes", crashes.size());
    }
  }

  @Override
  public void close() {
    expiryTimer.dispose();
    writer.close();
    watch.close();
  }

  private boolean add(Crash crash, long atMillis) {
    boolean wasQuarantined = quarantine.contains(crash.fingerprint(), nowMillis());
    boolean added = quarantine.add(crash, atMillis);
    if (!wasQuarantined && quarantine.contains(crash.fingerprint(), nowMillis())) {
      log.info(
          "request-quarantined",
          "request",
          crash.fingerprint(),
          "lastUpstream",
          crash.upstream(),
          "crashAgeMillis",
          nowMillis() - atMillis);
    }
    return added;
  }

  private void forget(Crash crash) {
    quarantine.remove(crash);
    crashByKey.remove(rowKey(crash).key());
  }

  private void delete(Crash crash) {
    forget(crash);
    writer.delete(rowKey(crash));
  }

  private static RowKey rowKey(Crash crash) {
    String upstreamHash =
        Hashing.farmHashFingerprint64()
            .hashString(crash.upstream(), StandardCharsets.UTF_8)
            .toString();
    return RowKey.of(TABLE, crash.fingerprint() + "/" + upstreamHash);
  }

  private TableWatch.Listener listener() {
    return new TableWatch.Listener() {
      @Override
      public void onSnapshot(ImmutableList<Row> rows) {
        quarantine.clear();
        crashByKey.clear();
        rows.forEach(row -> onRow(row));
        writer.pendingPuts().forEach(each -> add(each.crash(), each.atMillis()));
      }

      @Override
      public void onChanges(ImmutableList<Change> changes) {
        for (Change change : changes) {
          change.row().ifPresentOrElse(row -> onRow(row), () -> onRowRemoved(change.key()));
        }
      }
    };
  }

  private void onRow(Row row) {
    try {
      Crash crash =
          new Crash(
              new RequestFingerprint(row.value().path("request").asText()),
              row.value().path("upstream").asText());
      long ageMillis = Math.max(0, watch.storeMillis() - row.value().path("atMillis").asLong());
      add(crash, nowMillis() - ageMillis);
      crashByKey.put(row.key(), crash);
    } catch (IllegalArgumentException e) {
      log.warn("crash-row-rejected", "key", row.key(), "cause", e.toString());
    }
  }

  private void onRowRemoved(String key) {
    Crash crash = crashByKey.get(key);
    if (crash != null && !writer.isPut(rowKey(crash))) {
      forget(crash);
    }
  }

  private void put(Crash crash, long atMillis) {
    RowKey key = rowKey(crash);
    if (writer.pendingRows() >= MAX_PENDING_ROWS || quarantine.isFull()) {
      log.warn("crash-not-shared", "key", key.key(), "pendingRows", writer.pendingRows());
      return;
    }
    writer.put(key, new LocalCrash(crash, atMillis));
  }

  private JsonNode encode(LocalCrash crash) {
    long ageMillis = nowMillis() - crash.atMillis();
    return JsonNodeFactory.instance
        .objectNode()
        .put("request", crash.crash().fingerprint().hex())
        .put("upstream", crash.crash().upstream())
        .put("atMillis", watch.latestStoreMillis() - ageMillis);
  }

  /** Forgets expired crashes; of the live nodes, the one that a row's hash selects deletes it. */
  private void removeExpired() {
    ImmutableSet<String> alive = nodes.alive();
    for (Crash crash : quarantine.expired(nowMillis())) {
      if (DutyCandidates.choose(rowKey(crash).key(), alive, 1).contains(incarnation)) {
        delete(crash);
      } else {
        forget(crash);
      }
    }
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
