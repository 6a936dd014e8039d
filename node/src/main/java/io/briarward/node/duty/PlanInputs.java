package io.briarward.node.duty;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.capacity.DemandForecast;
import io.briarward.core.capacity.PlanInput;
import io.briarward.core.capacity.ServiceNeed;
import io.briarward.core.configuration.CapacityTarget;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.DataCentreLoad;
import io.briarward.core.routing.Router;
import io.briarward.node.NodeContext;
import java.util.HashMap;
import java.util.Map;

/**
 * Makes the input of capacity plans from the load that this node's router knows.
 *
 * <p>Of other data centres it knows none and asks for their minimum only. Confined to the event
 * loop.
 */
public final class PlanInputs {
  private static final long HOLD_MILLIS = 300_000;
  private static final long START_MILLIS = 60_000;

  private final NodeContext context;
  private final Router router;
  private final Map<String, DemandForecast> forecasts = new HashMap<>();

  private PlanInputs(NodeContext context, Router router) {
    this.context = checkNotNull(context, "context");
    this.router = checkNotNull(router, "router");
  }

  /** Returns inputs without samples. */
  public static PlanInputs create(NodeContext context, Router router) {
    return new PlanInputs(context, router);
  }

  /** Takes a sample and returns the input for a data centre. */
  public PlanInput of(String dataCentre) {
    Configuration configuration = context.configuration().current().configuration();
    ImmutableList<ServiceNeed> needs =
        configuration.capacityTargets().stream()
            .filter(target -> target.dataCentre().equals(dataCentre))
            .map(target -> need(target, configuration))
            .collect(ImmutableList.toImmutableList());
    return new PlanInput(needs, router::isIdle);
  }

  private ServiceNeed need(CapacityTarget target, Configuration configuration) {
    DemandForecast forecast =
        forecasts.computeIfAbsent(
            target.dataCentre() + "/" + target.service(),
            unused -> DemandForecast.create(HOLD_MILLIS));
    forecast.observe(context.nowMillis(), demand(target, configuration), START_MILLIS);
    return new ServiceNeed(
        target.service(),
        target.min(),
        target.max(),
        target.maxConcurrent(),
        forecast.ahead(),
        forecast.held(),
        reclaimableShare(configuration));
  }

  /** Returns the concurrent requests that the configured upstreams leave to ordered ones. */
  private double demand(CapacityTarget target, Configuration configuration) {
    if (!target.dataCentre().equals(context.settings().dataCentre())) {
      return 0;
    }
    double outstanding =
        router
            .localLoad(target.service(), context.nowMillis())
            .map(DataCentreLoad::outstanding)
            .orElse(0.0);
    int configured =
        configuration.service(target.service()).stream()
            .flatMap(service -> service.upstreams().stream())
            .filter(upstream -> upstream.dataCentre().equals(target.dataCentre()))
            .mapToInt(Upstream::maxConcurrent)
            .sum();
    return Math.max(0, outstanding - configured);
  }

  private static double reclaimableShare(Configuration configuration) {
    return configuration.partners().stream()
        .mapToDouble(Partner::reclaimableShare)
        .average()
        .orElse(0);
  }
}
