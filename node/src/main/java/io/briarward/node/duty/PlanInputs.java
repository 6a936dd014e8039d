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
 * Creates the inputs of capacity plans from the load that this node's router tracks.
 *
 * <p>The router's local load covers this node's data centre only, so plans for other data centres
 * get a demand of 0 and request only the minimum. Confined to the event loop.
 */
public final class PlanInputs {
  private static final long FORECAST_HOLD_MILLIS = 300_000;
  private static final long UPSTREAM_START_MILLIS = 60_000;

  private final NodeContext context;
  private final Router router;
  private final Map<String, DemandForecast> forecasts = new HashMap<>();

  private PlanInputs(NodeContext context, Router router) {
    this.context = checkNotNull(context, "context");
    this.router = checkNotNull(router, "router");
  }

  /** Creates inputs whose forecasts have no samples yet. */
  public static PlanInputs create(NodeContext context, Router router) {
    return new PlanInputs(context, router);
  }

  /** Samples the demand in a data centre and returns the input of its next plan. */
  public PlanInput of(String dataCentre) {
    Configuration configuration = context.configuration().current().configuration();
    ImmutableList<ServiceNeed> needs =
        configuration.capacityTargets().stream()
            .filter(target -> target.dataCentre().equals(dataCentre))
            .map(target -> createNeed(target, configuration))
            .collect(ImmutableList.toImmutableList());
    return new PlanInput(needs, router::isIdle);
  }

  private ServiceNeed createNeed(CapacityTarget target, Configuration configuration) {
    DemandForecast forecast =
        forecasts.computeIfAbsent(
            target.dataCentre() + "/" + target.service(),
            unused -> DemandForecast.create(FORECAST_HOLD_MILLIS));
    forecast.observe(
        context.nowMillis(), concurrentDemand(target, configuration), UPSTREAM_START_MILLIS);
    return new ServiceNeed(
        target.service(),
        target.min(),
        target.max(),
        target.maxConcurrent(),
        forecast.ahead(),
        forecast.held(),
        reclaimableShare(configuration));
  }

  /**
   * Returns the number of concurrent requests that exceed the capacity of the configured upstreams
   * and so need ordered ones.
   */
  private double concurrentDemand(CapacityTarget target, Configuration configuration) {
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
