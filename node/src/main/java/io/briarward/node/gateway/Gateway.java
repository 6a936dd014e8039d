package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.node.batch.BatchService;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The parts of a node that is configured through the platform's store.
 *
 * <p>Confined to one event loop, on which {@link #start} is called.
 */
public final class Gateway implements AutoCloseable {
  private static final long FEED_PAUSE_MILLIS = 20;
  private static final long POLL_MILLIS = 50;

  /** The age of the store's last answer above which the node asks to get no new connections. */
  private static final long STORE_LOST_MILLIS = 4_000;

  /** How long callers may need to notice that the node is not ready, in milliseconds. */
  private static final long NOTICE_MILLIS = 2_500;

  private final Settings settings;
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
   * How a gateway is set up.
   *
   * @param nodeName the VM
   * @param address where callers reach the VM
   * @param leaseMillis the least time between orders of one holder, another and the first again
   * @param usageWindowMillis the length of a window of usage
   * @param stopMillis how long a stop may take
   * @param retentionMillis how long a batch that has ended is kept after it was accepted
   */
  public record Settings(
      String nodeName,
      String address,
      String dataCentre,
      long leaseMillis,
      long usageWindowMillis,
      long stopMillis,
      long retentionMillis) {
    /** Checks the fields. */
    public Settings {
      checkNotNull(nodeName, "nodeName");
      checkNotNull(address, "address");
      checkNotNull(dataCentre, "dataCentre");
    }
  }

  private Gateway(
      Settings settings, GatewayPorts ports, UpstreamConnections connections, Scheduler scheduler) {
    this.settings = checkNotNull(settings, "settings");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = EventLog.create(scheduler);
    this.fleet = FleetState.create(ports.decoder(), scheduler, log, settings.dataCentre());
    parts.push(
        TableWatch.start(
            ports.feed(),
            scheduler,
            log,
            ports.decoder().operatorTable(),
            FEED_PAUSE_MILLIS,
            fleet.operatorRows()));
    parts.push(
        TableWatch.start(
            ports.feed(),
            scheduler,
            log,
            ports.decoder().upstreamTable(),
            FEED_PAUSE_MILLIS,
            fleet.upstreamRows()));
    String incarnation = Incarnations.create(settings.nodeName(), settings.address());
    this.nodes =
        NodeRegistry.start(
            ports.tables(), ports.feed(), scheduler, log, settings.nodeName(), incarnation);
    parts.push(nodes);
    this.batches =
        BatchService.start(
            new BatchService.Settings(incarnation, settings.retentionMillis()),
            new BatchService.Dependencies(
                ports.tables(),
                ports.objects(),
                ports.feed(),
                ports.batchCodec(),
                ports.samplers()),
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
                settings.leaseMillis(),
                settings.usageWindowMillis()),
            ports.tables(),
            scheduler,
            log,
            fleet,
            ports.orders(),
            ports.reports(),
            batches::freshnessDemands);
    parts.push(control);
    this.forwarder =
        new LiveForwarder(
            new LiveForwarder.Context(
                scheduler,
                fleet.balancer(),
                connections,
                ports.upstreamProtocol(),
                ports.callerProtocol(),
                control.runs(),
                metrics,
                log));
    log.info("started", "node", settings.nodeName(), "incarnation", incarnation);
  }

  /** Starts to follow the store and to compete for duties. */
  public static Gateway start(
      Settings settings, GatewayPorts ports, UpstreamConnections connections, Scheduler scheduler) {
    return new Gateway(settings, ports, connections, scheduler);
  }

  /** Returns what this node believes of the deployment. */
  public FleetState fleet() {
    return fleet;
  }

  /** Returns the batches. */
  public BatchService batches() {
    return batches;
  }

  /** Returns what answers live requests. */
  public LiveForwarder forwarder() {
    return forwarder;
  }

  /** Returns the log of events. */
  public EventLog log() {
    return log;
  }

  /** Returns the metrics. */
  public Metrics metrics() {
    return metrics;
  }

  /** Returns whether new connections are welcome. */
  public boolean ready() {
    return !stopping && fleet.known() && nodes.storeAgeMillis() < STORE_LOST_MILLIS;
  }

  /** Returns whether a stop was begun. */
  public boolean stopping() {
    return stopping;
  }

  /**
   * Stops taking work, hands batches and duties on, and completes once no request is left or the
   * time for a stop is nearly up.
   */
  public Completable stop() {
    stopping = true;
    log.info("stopping", "requests", forwarder.inFlight());
    Completable noticed = Completable.timer(NOTICE_MILLIS, TimeUnit.MILLISECONDS, scheduler);
    Completable handedOn =
        control.stop().mergeWith(batches.drain(settings.stopMillis() / 3)).andThen(nodes.leave());
    Completable idle = Timers.until(scheduler, POLL_MILLIS, () -> forwarder.inFlight() == 0);
    return Completable.mergeArray(noticed, handedOn)
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
