package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Finds out when a node that is cut off from a service reaches its upstreams again.
 *
 * <p>Opens a connection to one upstream of each such service at a time, in turn, since no requests
 * are sent to them meanwhile. Logs when a service is lost and regained. Confined to the event loop.
 */
final class UpstreamProber implements AutoCloseable {
  /** Bounds the time for which requests take a detour after the links are back. */
  private static final long PROBE_INTERVAL_MILLIS = 500;

  private final UpstreamBalancer balancer;
  private final UpstreamConnections connections;
  private final Scheduler scheduler;
  private final EventLog log;
  private final Disposable timer;
  private final Map<String, Integer> probesByService = new HashMap<>();
  private final Set<String> probing = new HashSet<>();

  private UpstreamProber(
      UpstreamBalancer balancer,
      UpstreamConnections connections,
      Scheduler scheduler,
      EventLog log) {
    this.balancer = checkNotNull(balancer, "balancer");
    this.connections = checkNotNull(connections, "connections");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.timer = Timers.every(scheduler, PROBE_INTERVAL_MILLIS, this::probe);
  }

  /** Starts to probe the services from which the node is cut off. */
  static UpstreamProber start(
      UpstreamBalancer balancer,
      UpstreamConnections connections,
      Scheduler scheduler,
      EventLog log) {
    return new UpstreamProber(balancer, connections, scheduler, log);
  }

  @Override
  public void close() {
    timer.dispose();
  }

  private void probe() {
    ImmutableSet<String> cutOff = balancer.cutOffServices();
    for (String service : ImmutableSet.copyOf(probesByService.keySet())) {
      if (!cutOff.contains(service)) {
        log.info("service-regained", "service", service, "probes", probesByService.remove(service));
      }
    }
    for (String service : cutOff) {
      if (!probesByService.containsKey(service)) {
        log.warn("service-lost", "service", service);
        probesByService.put(service, 0);
      }
      probe(service);
    }
  }

  private void probe(String service) {
    List<UpstreamEntry> upstreams =
        balancer.entries().stream()
            .filter(entry -> !entry.leaving() && entry.service().equals(service))
            .toList();
    if (upstreams.isEmpty() || !probing.add(service)) {
      return;
    }
    int probes = probesByService.merge(service, 1, Integer::sum);
    connections
        .probe(upstreams.get(probes % upstreams.size()))
        .onComplete(
            reached -> {
              probing.remove(service);
              if (reached.succeeded()) {
                balancer.onContact(service, scheduler.now(TimeUnit.MILLISECONDS));
              }
            });
  }
}
