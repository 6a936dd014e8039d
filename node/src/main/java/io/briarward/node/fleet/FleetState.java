package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.FleetConfiguration;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.NodeDemand;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.briarward.core.platform.Row;
import io.briarward.core.streams.OriginHistory;
import io.briarward.core.streams.StreamOrigin;
import io.briarward.node.platform.ChangeFeed.Change;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * This node's view of the deployment: its configuration, upstreams and announced weight versions.
 *
 * <p>Confined to the event loop.
 */
public final class FleetState {
  /**
   * How long an upstream whose entry expired during a store outage is kept after the store
   * recovers. Live upstreams restore their entries within two seconds.
   */
  private static final long EXPIRED_ENTRY_GRACE_MILLIS = 2_000;

  private final FleetDecoder decoder;
  private final Scheduler scheduler;
  private final EventLog log;
  private final UpstreamBalancer balancer;
  private final FleetWarmup warmup;
  private final OriginHistory origins = OriginHistory.create();
  private final Map<String, Long> announced = new HashMap<>();
  private final Map<String, Disposable> pendingRemovals = new HashMap<>();
  private final RejectedRows rejectedUpstreams = new RejectedRows();
  private final PaceLog paceLog;
  private Optional<FleetConfiguration> configuration = Optional.empty();
  private long recoveredAtMillis = Long.MIN_VALUE / 2;
  private boolean upstreamsKnown;

  private FleetState(
      FleetDecoder decoder,
      Scheduler scheduler,
      EventLog log,
      String localDataCentre,
      LimitShares shares) {
    this.decoder = checkNotNull(decoder, "decoder");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.balancer = UpstreamBalancer.create(localDataCentre, shares);
    this.warmup = new FleetWarmup(balancer, scheduler, log);
    this.paceLog = new PaceLog(log);
    balancer
        .pacing()
        .setListener((upstream, full, size) -> paceLog.onWindow(upstream, full, size, nowMillis()));
  }

  /**
   * Creates an empty view.
   *
   * @param shares the node's shares of the limits that upstreams name
   */
  public static FleetState create(
      FleetDecoder decoder,
      Scheduler scheduler,
      EventLog log,
      String localDataCentre,
      LimitShares shares) {
    return new FleetState(decoder, scheduler, log, localDataCentre, shares);
  }

  /** Returns the latest configuration, empty until one is read. */
  public Optional<FleetConfiguration> configuration() {
    return configuration;
  }

  /** Returns what this node knows of cold upstreams and evacuated data centres. */
  public FleetWarmup warmup() {
    return warmup;
  }

  /** Returns the balancer of the registered upstreams. */
  public UpstreamBalancer balancer() {
    return balancer;
  }

  /**
   * Returns the origin of all streams of the given services that may still be taken up; empty if
   * there are several or an unknown one.
   */
  public Optional<StreamOrigin> soleOrigin(ImmutableSet<String> services) {
    return soleOrigin(services, ImmutableList.of());
  }

  /**
   * Returns the origin of all streams of the given services that may still be taken up; empty if
   * there are several or an unknown one.
   *
   * @param unseen changes of registrations that this view may lack
   */
  public Optional<StreamOrigin> soleOrigin(
      ImmutableSet<String> services, ImmutableList<Change> unseen) {
    List<UpstreamEntry> registered = new ArrayList<>(balancer.entries());
    for (Change change : unseen) {
      Optional<UpstreamEntry> entry =
          change.row().flatMap(this::decode).or(() -> balancer.entry(change.key()));
      if (entry.isEmpty()) {
        return Optional.empty(); // It may have been usable under a row that was replaced since.
      }
      registered.add(entry.get());
    }
    return origins.sole(services, registered, nowMillis());
  }

  /** Decodes a registration; empty if it names no upstream, which is logged when it is handled. */
  private Optional<UpstreamEntry> decode(Row row) {
    try {
      return Optional.of(decoder.upstream(row.key(), row.value()));
    } catch (RuntimeException e) {
      return Optional.empty();
    }
  }

  /** Returns what this node tells the others about limited upstreams. */
  public NodeDemand demand() {
    return balancer.demand(nowMillis());
  }

  /**
   * Handles what a response says about the upstream that sent it.
   *
   * @param upstream the entry to which the request was sent
   * @param requestId the id of the request
   */
  public void onNotice(UpstreamEntry upstream, UpstreamNotice notice, String requestId) {
    if (notice.leaving()) {
      onLeaving(upstream, requestId);
    }
    warmup.onNotice(upstream, notice);
    if (notice.loadInvalid()) {
      paceLog.onInvalidLoad(upstream, requestId, nowMillis());
    } else {
      balancer.onLoad(upstream, notice.load(), nowMillis());
    }
    int sentWithinLimit = balancer.sentWithinLimit(upstream);
    if (balancer.onLimit(upstream, notice.limitPerSecond(), nowMillis())) {
      log.info(
          "upstream-limit",
          "upstream",
          upstream.id(),
          "startedAtMillis",
          upstream.startedAtMillis(),
          "limitPerSecond",
          notice.limitPerSecond().isPresent() ? notice.limitPerSecond().getAsDouble() : "none",
          "request",
          requestId,
          "sentWithinLimit",
          sentWithinLimit);
    }
  }

  /**
   * Handles a response in which an upstream announced that it leaves.
   *
   * @param upstream the entry to which the request was sent
   * @param requestId the id of the request
   */
  public void onLeaving(UpstreamEntry upstream, String requestId) {
    if (balancer.onLeaving(upstream)) {
      log.info(
          "upstream-leaving",
          "upstream",
          upstream.id(),
          "startedAtMillis",
          upstream.startedAtMillis(),
          "request",
          requestId,
          "registered",
          balancer.entry(upstream.id()).isPresent());
    }
  }

  /** Returns the latest announced weight version of each model. */
  public ImmutableMap<String, Long> announced() {
    return ImmutableMap.copyOf(announced);
  }

  /** Returns whether both the configuration and the upstreams have been read. */
  public boolean known() {
    return configuration.isPresent() && upstreamsKnown;
  }

  /** Returns the listener for {@link FleetDecoder#operatorTable}. */
  public TableWatch.Listener operatorRows() {
    return new TableWatch.Listener() {
      @Override
      public void onSnapshot(ImmutableList<Row> rows) {
        rows.forEach(row -> onOperatorRow(row));
        warmup.retainEvacuated(
            rows.stream()
                .flatMap(row -> decoder.evacuatedDataCentre(row.key()).stream())
                .collect(ImmutableSet.toImmutableSet()));
      }

      @Override
      public void onChanges(ImmutableList<Change> changes) {
        for (Change change : changes) {
          change
              .row()
              .ifPresentOrElse(
                  FleetState.this::onOperatorRow,
                  () -> decoder.evacuatedDataCentre(change.key()).ifPresent(warmup::onReleased));
        }
      }
    };
  }

  /** Returns the listener for {@link FleetDecoder#upstreamTable}. */
  public TableWatch.Listener upstreamRows() {
    return new TableWatch.Listener() {
      @Override
      public void onSnapshot(ImmutableList<Row> rows) {
        upstreamsKnown = true;
        origins.onGap(nowMillis());
        ImmutableSet<String> present =
            rows.stream().map(Row::key).collect(ImmutableSet.toImmutableSet());
        rejectedUpstreams.retain(present);
        rows.forEach(row -> onUpstreamRow(row));
        balancer.entries().stream()
            .map(UpstreamEntry::id)
            .filter(id -> !present.contains(id))
            .forEach(FleetState.this::onUpstreamRemoved);
      }

      @Override
      public void onChanges(ImmutableList<Change> changes) {
        for (Change change : changes) {
          change
              .row()
              .ifPresentOrElse(
                  FleetState.this::onUpstreamRow, () -> onUpstreamRemoved(change.key()));
        }
      }

      @Override
      public void onStoreRecovered() {
        recoveredAtMillis = nowMillis();
        origins.onGap(nowMillis());
      }
    };
  }

  private void onOperatorRow(Row row) {
    Optional<String> evacuated = decoder.evacuatedDataCentre(row.key());
    if (evacuated.isPresent()) {
      warmup.onEvacuated(evacuated.get(), upstreamsKnown);
      return;
    }
    try {
      if (row.key().equals(decoder.configurationKey())) {
        install(decoder.configuration(row.value()));
      } else {
        decoder.announcement(row.key(), row.value()).ifPresent(this::onAnnouncement);
      }
    } catch (RuntimeException e) {
      log.warn("operator-row-rejected", "key", row.key(), "cause", e.toString());
    }
  }

  private void install(FleetConfiguration candidate) {
    if (configuration.filter(current -> current.version() >= candidate.version()).isPresent()) {
      return;
    }
    boolean streamsMoved =
        configuration.filter(current -> current.movesStreams(candidate)).isPresent();
    if (streamsMoved) {
      origins.onGap(nowMillis()); // Streams of a route may have begun at any of its services.
    }
    configuration = Optional.of(candidate);
    warmup.onServices(candidate.services());
    log.info(
        "configuration",
        "version",
        candidate.version(),
        "routes",
        candidate.routes().size(),
        "keys",
        candidate.organisationByKey().size());
  }

  private void onAnnouncement(FleetDecoder.Announcement announcement) {
    long previous = announced.getOrDefault(announcement.model(), 0L);
    if (announcement.version() > previous) {
      announced.put(announcement.model(), announcement.version());
      log.info(
          "weights-announced", "model", announcement.model(), "version", announcement.version());
    }
  }

  private void onUpstreamRow(Row row) {
    try {
      onUpstream(decoder.upstream(row.key(), row.value()), row.version());
      decoder.coldDefect(row.value()).ifPresent(cause -> warmup.onDefect(row.key(), cause));
      rejectedUpstreams.remove(row.key());
    } catch (RuntimeException e) {
      reject(row, RejectedRows.cause(e));
    }
  }

  /** Handles a row that names no upstream, so that what it named before is gone. */
  private void reject(Row row, String cause) {
    if (rejectedUpstreams.add(row.key(), cause)) {
      log.warn(
          "upstream-row-rejected",
          "upstream",
          row.key(),
          "rowVersion",
          row.version(),
          "cause",
          cause);
    }
    remove(row.key());
  }

  private void onUpstream(UpstreamEntry decoded, long rowVersion) {
    pendingRemovals.getOrDefault(decoded.id(), Disposable.disposed()).dispose();
    Optional<UpstreamEntry> previous = balancer.entry(decoded.id());
    UpstreamEntry entry = balancer.put(decoded);
    warmup.onRow(entry);
    previous
        .filter(replaced -> !StreamOrigin.of(replaced).equals(StreamOrigin.of(entry)))
        .ifPresent(replaced -> origins.onReplaced(replaced, nowMillis()));
    // The remaining time for which an upstream is cold differs in each of its rows.
    if (!previous
        .map(each -> each.withColdMillis(0))
        .equals(Optional.of(entry.withColdMillis(0)))) {
      log.info(
          "upstream",
          "upstream",
          entry.id(),
          "service",
          entry.service(),
          "dataCentre",
          entry.dataCentre(),
          "leaving",
          entry.leaving(),
          "software",
          entry.softwareVersion(),
          "versions",
          entry.modelVersions(),
          "rowVersion",
          rowVersion);
    }
  }

  private void onUpstreamRemoved(String id) {
    rejectedUpstreams.remove(id);
    long sinceRecoveryMillis = nowMillis() - recoveredAtMillis;
    if (sinceRecoveryMillis >= EXPIRED_ENTRY_GRACE_MILLIS) {
      log.info("upstream-gone", "upstream", id);
      remove(id);
      return;
    }
    Disposable removal =
        scheduler.scheduleDirect(
            () -> {
              log.info("upstream-gone", "upstream", id, "lapsed", true);
              remove(id);
            },
            EXPIRED_ENTRY_GRACE_MILLIS - sinceRecoveryMillis,
            TimeUnit.MILLISECONDS);
    pendingRemovals.put(id, removal);
  }

  private void remove(String id) {
    balancer.entry(id).ifPresent(entry -> origins.onReplaced(entry, nowMillis()));
    balancer.remove(id);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
