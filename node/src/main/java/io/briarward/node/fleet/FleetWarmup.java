package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.briarward.core.fleet.ColdUpstreams;
import io.briarward.core.fleet.EvacuatedDataCentres;
import io.briarward.core.fleet.FleetBounds;
import io.briarward.core.fleet.FleetService;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Passes what rows and responses say about cold upstreams and evacuated data centres to the
 * balancer, and logs the changes.
 *
 * <p>Confined to the event loop.
 */
public final class FleetWarmup {
  /** Bounds the memory of logged causes; the texts do not quote input other than names. */
  private static final int MAX_LOGGED_DEFECTS = 256;

  private final UpstreamBalancer balancer;
  private final ColdUpstreams cold;
  private final EvacuatedDataCentres evacuated;
  private final Scheduler scheduler;
  private final EventLog log;
  private final Set<String> loggedDefects = new HashSet<>();
  private FleetBounds bounds = FleetBounds.DEFAULT;

  FleetWarmup(UpstreamBalancer balancer, Scheduler scheduler, EventLog log) {
    this.balancer = checkNotNull(balancer, "balancer");
    this.cold = balancer.cold();
    this.evacuated = balancer.evacuated();
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
  }

  /** Sets the bounds on what all nodes together send. */
  public void setBounds(FleetBounds newBounds) {
    bounds = checkNotNull(newBounds, "newBounds");
    cold.setBounds(newBounds);
  }

  /** Logs the upstreams that became cold or ceased to be cold, and sets the gauges. */
  public void report(Metrics metrics) {
    long nowMillis = nowMillis();
    for (ColdUpstreams.Change change : cold.changes(nowMillis)) {
      log.info(
          change.cold() ? "upstream-cold" : "upstream-warm",
          "upstream",
          change.upstream().id(),
          "service",
          change.upstream().service(),
          "dataCentre",
          change.upstream().dataCentre(),
          "perSecond",
          change.perSecond(),
          "ownPerSecond",
          change.ownPerSecond());
    }
    metrics.coldUpstreams(cold.count(nowMillis));
    metrics.evacuatedDataCentres(evacuated.names().size());
  }

  void onServices(ImmutableMap<String, FleetService> services) {
    cold.setServices(services);
    services
        .values()
        .forEach(service -> service.defects().forEach(defect -> onDefect(service.name(), defect)));
  }

  void onRow(UpstreamEntry upstream) {
    cold.onRow(upstream, nowMillis());
  }

  void onNotice(UpstreamEntry upstream, UpstreamNotice notice) {
    notice.coldMillis().ifPresent(millis -> cold.onResponse(upstream, millis, nowMillis()));
    notice.coldDefect().ifPresent(cause -> onDefect(upstream.id(), cause));
  }

  /**
   * Handles a value that is not used; each cause is logged once.
   *
   * @param source the upstream or service that has the value
   */
  void onDefect(String source, String cause) {
    if (loggedDefects.size() < MAX_LOGGED_DEFECTS && loggedDefects.add(cause)) {
      log.warn("warm-up-ignored", "source", source, "cause", cause);
    }
  }

  void onEvacuated(String dataCentre, boolean upstreamsKnown) {
    if (!evacuated.add(dataCentre)) {
      return;
    }
    long upstreams =
        balancer.entries().stream().filter(each -> each.dataCentre().equals(dataCentre)).count();
    log.info(
        "data-centre-evacuated",
        "dataCentre",
        dataCentre,
        "upstreams",
        upstreams,
        "boundMillis",
        bounds.evacuationMillis());
    if (upstreamsKnown && upstreams == 0) {
      log.warn("data-centre-without-upstreams", "dataCentre", dataCentre);
    }
  }

  void onReleased(String dataCentre) {
    if (evacuated.remove(dataCentre)) {
      log.info("data-centre-released", "dataCentre", dataCentre);
    }
  }

  /** Releases all data centres but the given ones. */
  void retainEvacuated(ImmutableSet<String> dataCentres) {
    Sets.difference(evacuated.names(), dataCentres).forEach(this::onReleased);
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
