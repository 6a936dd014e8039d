package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.fleet.NodeRegistry;
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
 * Finds out when a node loses its links to the upstreams of a service, and when it reaches them
 * again.
 *
 * <p>Requests alone would show the loss late at a node with few of them, and the end of the loss
 * never, since none are sent meanwhile. So the node opens connections to some upstreams of a
 * service once one of them did not answer, or once other nodes are cut off from the service, and to
 * one at a time, in turn, while it is cut off itself. Logs when a service is lost and regained.
 * Confined to the event loop.
 */
final class UpstreamProber implements AutoCloseable {
  /** Bounds the time for which requests take a detour after the links are back. */
  private static final long PROBE_INTERVAL_MILLIS = 500;

  /** No upstream is probed if the service gave a sign within this time, in milliseconds. */
  private static final long RECENT_CONTACT_MILLIS = 1_000;

  /** The number of upstreams that are probed at once; if none answers, the node is cut off. */
  private static final int PROBES_AT_ONCE = 3;

  private final UpstreamBalancer balancer;
  private final NodeRegistry nodes;
  private final UpstreamConnections connections;
  private final Scheduler scheduler;
  private final EventLog log;
  private final Disposable timer;
  private final Set<String> lostServices = new HashSet<>();
  private final Map<String, Integer> pendingByService = new HashMap<>();
  private int probes;

  private UpstreamProber(
      UpstreamBalancer balancer,
      NodeRegistry nodes,
      UpstreamConnections connections,
      Scheduler scheduler,
      EventLog log) {
    this.balancer = checkNotNull(balancer, "balancer");
    this.nodes = checkNotNull(nodes, "nodes");
    this.connections = checkNotNull(connections, "connections");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.timer = Timers.every(scheduler, PROBE_INTERVAL_MILLIS, this::checkServices);
  }

  /** Starts to probe the services from which this node or others may be cut off. */
  static UpstreamProber start(
      UpstreamBalancer balancer,
      NodeRegistry nodes,
      UpstreamConnections connections,
      Scheduler scheduler,
      EventLog log) {
    return new UpstreamProber(balancer, nodes, connections, scheduler, log);
  }

  @Override
  public void close() {
    timer.dispose();
  }

  private void checkServices() {
    ImmutableSet<String> cutOff = balancer.cutOffServices();
    logChanges(cutOff);
    for (String service : cutOff) {
      probe(service, 1);
    }
    long recentMillis = scheduler.now(TimeUnit.MILLISECONDS) - RECENT_CONTACT_MILLIS;
    for (String service : Sets.union(balancer.suspectedServices(), nodes.cutOffElsewhere())) {
      if (!cutOff.contains(service) && !balancer.hadContactSince(service, recentMillis)) {
        probe(service, PROBES_AT_ONCE);
      }
    }
  }

  private void logChanges(ImmutableSet<String> cutOff) {
    for (String service : Sets.difference(cutOff, lostServices).immutableCopy()) {
      lostServices.add(service);
      log.warn(
          "service-lost",
          "service",
          service,
          "reachedByOthers",
          nodes.reachedByOthers(ImmutableSet.of(service)));
    }
    for (String service : Sets.difference(lostServices, cutOff).immutableCopy()) {
      lostServices.remove(service);
      log.info("service-regained", "service", service);
    }
  }

  /** Probes the next upstreams of a service, unless probes of it are pending. */
  private void probe(String service, int count) {
    if (pendingByService.containsKey(service)) {
      return;
    }
    List<UpstreamEntry> upstreams = balancer.notDraining(service).toList();
    for (int i = 0; i < Math.min(count, upstreams.size()); i++) {
      probes++;
      connect(upstreams.get(probes % upstreams.size()));
    }
  }

  private void connect(UpstreamEntry upstream) {
    pendingByService.merge(upstream.service(), 1, Integer::sum);
    connections
        .probe(upstream)
        .onComplete(
            reached -> {
              pendingByService.computeIfPresent(
                  upstream.service(), (service, pending) -> pending == 1 ? null : pending - 1);
              if (reached.succeeded()) {
                balancer.onContact(upstream.service(), scheduler.now(TimeUnit.MILLISECONDS));
              } else {
                balancer.onUnreachable(upstream.id());
              }
            });
  }
}
