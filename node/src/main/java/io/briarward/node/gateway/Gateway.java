package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.BatchTerms;
import io.briarward.core.batch.SubmissionPlacement;
import io.briarward.core.fleet.FeedPause;
import io.briarward.core.fleet.FleetBounds;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.RelayOffer;
import io.briarward.core.forwarding.StopSchedule;
import io.briarward.core.memory.ByteBudget;
import io.briarward.node.batch.BatchService;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.fleet.LimitExchange;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.fleet.PaceMetrics;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.quarantine.CrashRegistry;
import io.briarward.node.streams.StreamOrigins;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.timing.Timers;
import io.briarward.node.timing.UptimeScheduler;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * A node that reads its configuration from the platform's store.
 *
 * <p>Confined to one event loop, on which {@link #start} is called.
 */
public final class Gateway implements AutoCloseable {
  private static final long FEED_INTERVAL_MILLIS = 20;
  private static final long IDLE_POLL_MILLIS = 50;

  /** The age of the store's last response at which the node ceases to be ready, in milliseconds. */
  private static final long MAX_STORE_AGE_MILLIS = 4_000;

  /** How long a stop waits for callers to notice that the node is not ready, in milliseconds. */
  private static final long READINESS_NOTICE_MILLIS = 2_500;

  /** The part of the answers to idempotent requests that is held back, of all requests. */
  private static final long MAX_HELD_ANSWER_BYTES = 8 << 20;

  private final Settings settings;
  private final PeerRelays relays;
  private final Scheduler scheduler;
  private final EventLog log;
  private final Metrics metrics = Metrics.create();
  private final FleetState fleet;
  private final NodeRegistry nodes;
  private final BatchService batches;
  private final ControlDuty control;
  private final LiveForwarder forwarder;
  private final Deque<AutoCloseable> parts = new ArrayDeque<>();
  private boolean stopping;

  /**
   * Identity and durations of a gateway.
   *
   * @param nodeName the name of the VM
   * @param address the address at which callers reach the VM
   * @param relayAddress the address at which the node accepts requests of other nodes
   * @param dataCentre the data centre of the VM
   * @param reacquireDelayMillis the minimum time before a VM that lost the control lease to another
   *     VM may take it back, in milliseconds
   * @param usageWindowMillis the length of a usage window, in milliseconds
   * @param stopMillis the time-out of {@link #stop}, in milliseconds
   * @param retentionMillis how long an ended batch is kept, in milliseconds after its acceptance
   * @param processorCores the processor capacity of the VM in cores, empty if unknown
   * @param bounds bounds on what all nodes together send to cold upstreams and evacuated data
   *     centres
   */
  public record Settings(
      String nodeName,
      String address,
      Optional<HostAndPort> relayAddress,
      String dataCentre,
      long reacquireDelayMillis,
      long usageWindowMillis,
      long stopMillis,
      long retentionMillis,
      OptionalDouble processorCores,
      FleetBounds bounds) {
    /** Validates the components. */
    public Settings {
      checkNotNull(nodeName, "nodeName");
      checkNotNull(address, "address");
      checkNotNull(relayAddress, "relayAddress");
      checkNotNull(dataCentre, "dataCentre");
      checkNotNull(processorCores, "processorCores");
      checkNotNull(bounds, "bounds");
    }
  }

  private Gateway(
      Settings settings,
      GatewayDependencies dependencies,
      UpstreamConnections connections,
      PeerRelays relays,
      UptimeScheduler scheduler) {
    this.settings = checkNotNull(settings, "settings");
    this.relays = checkNotNull(relays, "relays");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = EventLog.create(scheduler);
    LimitShares shares = LimitShares.create(settings.nodeName());
    this.fleet =
        FleetState.create(dependencies.decoder(), scheduler, log, settings.dataCentre(), shares);
    fleet.warmup().setBounds(settings.bounds());
    parts.push(
        TableWatch.start(
            dependencies.feed(),
            scheduler,
            log,
            dependencies.decoder().operatorTable(),
            FEED_INTERVAL_MILLIS,
            fleet.operatorRows()));
    String incarnation = Incarnations.create(settings.nodeName(), settings.address());
    this.nodes =
        NodeRegistry.start(
            dependencies.tables(),
            dependencies.feed(),
            scheduler,
            log,
            settings.nodeName(),
            incarnation,
            fleet::demand,
            scheduler::steadyMillis);
    nodes.publishCapacity(settings.processorCores());
    parts.push(nodes);
    TableWatch upstreams =
        TableWatch.start(
            dependencies.feed(),
            scheduler,
            log,
            dependencies.decoder().upstreamTable(),
            () -> FeedPause.ofNodesMillis(nodes.aliveCount()),
            fleet.upstreamRows());
    parts.push(upstreams);
    nodes.offerRelay(
        () ->
            new RelayOffer(
                settings.relayAddress().map(HostAndPort::toString),
                fleet.balancer().cutOffServices()));
    parts.push(UpstreamProber.start(fleet.balancer(), nodes, connections, scheduler, log));
    parts.push(LimitExchange.start(nodes, shares, scheduler, () -> fleet.warmup().report(metrics)));
    PaceMetrics.register(
        metrics.registry(), fleet.balancer(), () -> scheduler.now(TimeUnit.MILLISECONDS));
    this.batches =
        BatchService.start(
            new BatchService.Settings(incarnation, settings.retentionMillis()),
            new BatchService.Dependencies(
                dependencies.tables(),
                dependencies.objects(),
                dependencies.feed(),
                dependencies.batchDecoder(),
                dependencies.submissionMemory(),
                dependencies.samplers(),
                dependencies.rewards(),
                metrics),
            scheduler,
            fleet,
            nodes,
            log);
    parts.push(batches);
    this.control =
        ControlDuty.start(
            new ControlDuty.Settings(
                settings.nodeName(),
                incarnation,
                settings.reacquireDelayMillis(),
                settings.usageWindowMillis()),
            dependencies.tables(),
            scheduler,
            log,
            fleet,
            dependencies.orders(),
            dependencies.reports(),
            batches::freshnessDemands,
            () -> nodes.isDutyCandidate(ControlDuty.DUTY),
            System::currentTimeMillis);
    parts.push(control);
    CrashRegistry crashes =
        CrashRegistry.start(
            dependencies.tables(), dependencies.feed(), nodes, scheduler, log, incarnation);
    parts.push(crashes);
    StreamOrigins origins =
        StreamOrigins.start(
            dependencies.tables(),
            nodes,
            fleet,
            upstreams::unseenChanges,
            scheduler,
            log,
            incarnation);
    parts.push(origins);
    this.forwarder =
        new LiveForwarder(
            new LiveForwarder.Context(
                scheduler,
                fleet,
                connections,
                nodes,
                relays,
                dependencies.upstreamProtocol(),
                dependencies.callerProtocol(),
                control.runs(),
                crashes,
                origins,
                ByteBudget.of(MAX_HELD_ANSWER_BYTES),
                metrics,
                log));
    log.info("started", "node", settings.nodeName(), "incarnation", incarnation);
  }

  /** Starts a gateway that follows the store and competes for the control lease. */
  public static Gateway start(
      Settings settings,
      GatewayDependencies dependencies,
      UpstreamConnections connections,
      PeerRelays relays,
      UptimeScheduler scheduler) {
    return new Gateway(settings, dependencies, connections, relays, scheduler);
  }

  /** Returns this node's view of the configuration and upstreams, which may be stale. */
  public FleetState fleet() {
    return fleet;
  }

  public BatchService batches() {
    return batches;
  }

  /**
   * Returns the address of the node that is to run a batch; empty if this one is.
   *
   * <p>It accepts submissions at {@link #openToNode} as callers send them, and may fail to.
   */
  public Optional<HostAndPort> preferredBatchNode(BatchTerms terms, BatchSpec spec) {
    String caller = terms.host() + '/' + terms.route() + '/' + spec.model().orElse("");
    return SubmissionPlacement.choose(caller, nodes.bestPlaced(terms.service()))
        .flatMap(owner -> nodes.relayAddress(owner, terms.service()))
        .map(HostAndPort::fromString);
  }

  /** Connects to another node and returns a request that has not been sent. */
  public Future<HttpClientRequest> openToNode(HostAndPort node, HttpMethod method, String uri) {
    return relays.open(node, method, uri);
  }

  /** Returns the forwarder of live requests. */
  public LiveForwarder forwarder() {
    return forwarder;
  }

  public EventLog log() {
    return log;
  }

  public Metrics metrics() {
    return metrics;
  }

  /**
   * Returns whether the node accepts new connections.
   *
   * <p>It does not while it is stopping, before it has read the store, and once the last response
   * of the store is too old.
   */
  public boolean ready() {
    return !stopping && fleet.known() && nodes.storeAgeMillis() < MAX_STORE_AGE_MILLIS;
  }

  /** Returns whether {@link #stop} was called. */
  public boolean stopping() {
    return stopping;
  }

  /**
   * Drains the node.
   *
   * <p>Releases the control lease and the batches, so that other nodes take them over, and
   * completes once no live request is in flight. Those that still are {@code stopMillis} after this
   * call are ended with a failure.
   */
  public Completable stop() {
    stopping = true;
    log.info("stopping", "requests", forwarder.inFlight());
    long nowMillis = scheduler.now(TimeUnit.MILLISECONDS);
    long answerByMillis = nowMillis + settings.stopMillis();
    forwarder.stop(
        new StopSchedule(
            Math.min(nowMillis + READINESS_NOTICE_MILLIS, answerByMillis), answerByMillis));
    Completable noticed =
        Completable.timer(READINESS_NOTICE_MILLIS, TimeUnit.MILLISECONDS, scheduler);
    Completable handedOver =
        control.stop().mergeWith(batches.drain(settings.stopMillis() / 3)).andThen(nodes.leave());
    Completable idle = Timers.until(scheduler, IDLE_POLL_MILLIS, () -> forwarder.inFlight() == 0);
    return Completable.mergeArray(noticed, handedOver)
        .andThen(idle)
        .timeout(settings.stopMillis(), TimeUnit.MILLISECONDS, scheduler)
        .onErrorComplete()
        .doOnComplete(() -> log.info("stopped", "requestsLeft", forwarder.inFlight()));
  }

  @Override
  public void close() {
    while (!parts.isEmpty()) {
      AutoCloseable part = parts.pop();
      try {
        part.close();
      } catch (Exception e) {
        log.warn("close-failed", "part", part.getClass().getSimpleName(), "cause", e.toString());
      }
    }
  }
}
