package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.EvacuatedDataCentres;
import io.briarward.core.fleet.FleetRoute;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.weights.FreshnessDemand;
import io.briarward.core.weights.VersionOrders;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.gateway.SamplerOrders.LoadOrder;
import io.briarward.node.gateway.SamplerOrders.RunningWork;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Orders samplers, under a lease, to load the weight versions that trainers announced.
 *
 * <p>Each sampler's status is read before an order is sent, so that an order that was carried out
 * but whose response was lost is not sent again. Confined to the event loop.
 */
final class LoadOrderSender {
  /** The delay before an order that a sampler did not accept is retried, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 400;

  /**
   * The delay if the sampler is cold. Exceeds a second, in which two requests to it are reserved
   * for an order.
   */
  private static final long COLD_RETRY_DELAY_MILLIS = 1_300;

  private final SamplerOrders samplers;
  private final FleetState fleet;
  private final Scheduler scheduler;
  private final EventLog log;
  private final String nodeName;
  private final Supplier<ImmutableMap<String, FreshnessDemand>> demands;
  private final SendPermission permission;
  private final VersionOrders orders = VersionOrders.create();
  private int pending;

  LoadOrderSender(
      SamplerOrders samplers,
      FleetState fleet,
      Scheduler scheduler,
      EventLog log,
      String nodeName,
      Supplier<ImmutableMap<String, FreshnessDemand>> demands,
      SendPermission permission) {
    this.samplers = checkNotNull(samplers, "samplers");
    this.fleet = checkNotNull(fleet, "fleet");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.log = checkNotNull(log, "log");
    this.nodeName = checkNotNull(nodeName, "nodeName");
    this.demands = checkNotNull(demands, "demands");
    this.permission = checkNotNull(permission, "permission");
  }

  /** Returns the number of orders in flight. */
  int pending() {
    return pending;
  }

  /** Sends all orders that are due. */
  void step() {
    for (VersionOrders.Order order :
        orders.next(samplersToOrder(), fleet.announced(), demands.get(), nowMillis())) {
      pending++;
      var unused =
          permission
              .withTimeout(samplers.status(order.sampler()))
              .flatMap(status -> send(order, status))
              .doFinally(() -> pending--)
              .subscribe(
                  accepted -> onAnswered(order, accepted ? "accepted" : "not-accepted"),
                  error -> onAnswered(order, error.toString()));
    }
  }

  /** Returns the upstreams, without those of evacuated data centres, which get no requests. */
  private ImmutableCollection<UpstreamEntry> samplersToOrder() {
    EvacuatedDataCentres evacuated = fleet.balancer().evacuated();
    if (evacuated.isEmpty()) {
      return fleet.balancer().entries();
    }
    return fleet.balancer().entries().stream()
        .filter(entry -> !evacuated.contains(entry))
        .collect(ImmutableList.toImmutableList());
  }

  private Single<Boolean> send(VersionOrders.Order order, SamplerOrders.Status status) {
    if (status.modelVersions().getOrDefault(order.model(), 0L) >= order.version()) {
      return Single.just(true);
    }
    if (status.leaving()) {
      fleet.onLeaving(order.sampler(), "status");
    }
    Optional<LeaseGuard> guard = permission.guard();
    if (status.busy() || status.leaving() || guard.isEmpty()) {
      return Single.just(false);
    }
    LoadOrder load =
        new LoadOrder(
            order.sampler(),
            order.model(),
            order.version(),
            runningWork(order.sampler().service()),
            status.acceptedOrders(),
            nodeName,
            guard.get().fencingNumber());
    log.info(
        "order-sent",
        "sampler",
        order.sampler().id(),
        "model",
        order.model(),
        "version",
        order.version(),
        "acceptedOrders",
        status.acceptedOrders(),
        "fencingNumber",
        load.fencingNumber());
    return permission.withTimeout(samplers.load(load));
  }

  private void onAnswered(VersionOrders.Order order, String outcome) {
    log.info(
        "order-answered",
        "sampler",
        order.sampler().id(),
        "model",
        order.model(),
        "version",
        order.version(),
        "outcome",
        outcome);
    if (!outcome.equals("accepted")) {
      boolean cold = fleet.balancer().cold().isCold(order.sampler(), nowMillis());
      orders.onRejected(order, nowMillis(), cold ? COLD_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS);
    }
  }

  /**
   * Returns {@link RunningWork#FINISH} if a route to the service requires responses of a single
   * weight version, {@link RunningWork#KEEP} otherwise.
   */
  private RunningWork runningWork(String service) {
    boolean singleVersion =
        fleet.configuration().stream()
            .flatMap(configuration -> configuration.routes().stream())
            .filter(FleetRoute::singleVersion)
            .flatMap(route -> route.targets().stream())
            .anyMatch(target -> target.service().equals(service));
    return singleVersion ? RunningWork.FINISH : RunningWork.KEEP;
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
