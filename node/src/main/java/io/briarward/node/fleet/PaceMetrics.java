package io.briarward.node.fleet;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.summingDouble;

import com.google.common.collect.ImmutableList;
import io.briarward.core.fleet.ServiceLoad;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.fleet.UpstreamEntry;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * The metrics of the paced upstreams, by service, computed when they are read.
 *
 * <p>Confined to the event loop, on which the metrics are read.
 */
public final class PaceMetrics {
  private final UpstreamBalancer balancer;
  private final LongSupplier nowMillis;

  private PaceMetrics(UpstreamBalancer balancer, LongSupplier nowMillis) {
    this.balancer = checkNotNull(balancer, "balancer");
    this.nowMillis = checkNotNull(nowMillis, "nowMillis");
  }

  /** Adds the metrics to a registry. */
  public static void register(
      PrometheusRegistry registry, UpstreamBalancer balancer, LongSupplier nowMillis) {
    new PaceMetrics(balancer, nowMillis).register(registry);
  }

  private void register(PrometheusRegistry registry) {
    GaugeWithCallback.builder()
        .name("briarward_upstream_window")
        .help("Requests that this node may have in flight at the paced upstreams of a service.")
        .labelNames("service")
        .callback(
            each ->
                sums(balancer.pacing()::windowSize)
                    .forEach((service, sum) -> each.call(sum, service)))
        .register(registry);
    GaugeWithCallback.builder()
        .name("briarward_upstream_load")
        .help("Estimated running and waiting requests of all nodes at the paced upstreams.")
        .labelNames("service")
        .callback(each -> sums(this::occupancy).forEach((service, sum) -> each.call(sum, service)))
        .register(registry);
    CounterWithCallback.builder()
        .name("briarward_upstream_rejections_total")
        .help("Requests of this node that paced upstreams rejected.")
        .labelNames("service")
        .callback(
            each ->
                balancer
                    .pacing()
                    .rejections()
                    .forEach((service, count) -> each.call((double) count, service)))
        .register(registry);
    GaugeWithCallback.builder()
        .name("briarward_upstream_backlog")
        .help("Requests that wait on this node for a paced upstream.")
        .callback(each -> each.call(balancer.backlog().waiting()))
        .register(registry);
  }

  private Map<String, Double> sums(ToDoubleFunction<UpstreamEntry> value) {
    return paced().collect(groupingBy(UpstreamEntry::service, summingDouble(value)));
  }

  private Stream<UpstreamEntry> paced() {
    return balancer.entries().stream()
        .filter(entry -> !entry.leaving() && balancer.pacing().inForce(entry));
  }

  private double occupancy(UpstreamEntry upstream) {
    ServiceLoad load =
        balancer
            .pacing()
            .load(
                balancer.notDraining(upstream.service()).collect(ImmutableList.toImmutableList()),
                nowMillis.getAsLong());
    return load.occupancy().applyAsDouble(upstream);
  }
}
