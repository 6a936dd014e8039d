package io.briarward.experiments.control;

import com.google.common.collect.ImmutableList;
import io.briarward.core.capacity.CapacityPlanner;
import io.briarward.core.capacity.DemandForecast;
import io.briarward.core.capacity.ListedUpstream;
import io.briarward.core.capacity.Market;
import io.briarward.core.capacity.ServiceNeed;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Decides for one data centre which upstreams to start and stop. */
interface CapacityPolicy {
  /** Returns the name in the table. */
  String name();

  /** Returns what to do now. */
  CapacityPlanner.Plan plan(
      String dataCentre,
      long nowMillis,
      double concurrent,
      ImmutableList<ListedUpstream> upstreams,
      Predicate<Market> open);

  /** Keeps a fixed number of on-demand upstreams. */
  static CapacityPolicy fixed(String name, int count) {
    return of(
        name,
        (dataCentre, nowMillis, concurrent, upstreams, open) ->
            new CapacityPlanner.Plan(
                Math.max(0, count - upstreams.size()), 0, ImmutableList.of(), 0));
  }

  /** Starts one upstream above 80 % utilisation and stops one below 50 %. */
  static CapacityPolicy byUtilisation(String name, double reclaimableShare) {
    return of(
        name,
        (dataCentre, nowMillis, concurrent, upstreams, open) ->
            utilisationPlan(concurrent, upstreams, open, reclaimableShare));
  }

  /** Asks the planner of the product. */
  static CapacityPolicy planned(String name, double reclaimableShare) {
    Map<String, DemandForecast> forecasts = new HashMap<>();
    CapacityPlanner planner = CapacityPlanner.create();
    return of(
        name,
        (dataCentre, nowMillis, concurrent, upstreams, open) -> {
          DemandForecast forecast =
              forecasts.computeIfAbsent(dataCentre, unused -> DemandForecast.create(300_000));
          forecast.observe(nowMillis, concurrent, CapacitySimulation.START_MILLIS);
          ServiceNeed need =
              new ServiceNeed(
                  "recipe-llm",
                  1,
                  CapacitySimulation.MAX_UPSTREAMS,
                  CapacitySimulation.MAX_CONCURRENT,
                  forecast.ahead(),
                  forecast.held(),
                  reclaimableShare);
          return planner.plan(need, upstreams, open);
        });
  }

  private static CapacityPlanner.Plan utilisationPlan(
      double concurrent,
      ImmutableList<ListedUpstream> upstreams,
      Predicate<Market> open,
      double reclaimableShare) {
    long running =
        upstreams.stream().filter(each -> each.state() == ListedUpstream.State.RUNNING).count();
    long reclaimable =
        upstreams.stream().filter(each -> each.market() == Market.RECLAIMABLE).count();
    double utilisation =
        concurrent / Math.max(1.0, running * (double) CapacitySimulation.MAX_CONCURRENT);
    boolean starting = running < upstreams.size();
    boolean takeReclaimable =
        reclaimable < reclaimableShare * (upstreams.size() + 1) && open.test(Market.RECLAIMABLE);
    if (upstreams.isEmpty() || (utilisation > 0.8 && !starting)) {
      return new CapacityPlanner.Plan(
          takeReclaimable ? 0 : 1, takeReclaimable ? 1 : 0, ImmutableList.of(), 0);
    }
    boolean surplus = utilisation < 0.5 && upstreams.size() > 1;
    return new CapacityPlanner.Plan(
        0, 0, surplus ? ImmutableList.of(upstreams.get(0)) : ImmutableList.of(), 0);
  }

  private static CapacityPolicy of(String name, Decision decision) {
    return new CapacityPolicy() {
      @Override
      public String name() {
        return name;
      }

      @Override
      public CapacityPlanner.Plan plan(
          String dataCentre,
          long nowMillis,
          double concurrent,
          ImmutableList<ListedUpstream> upstreams,
          Predicate<Market> open) {
        return decision.plan(dataCentre, nowMillis, concurrent, upstreams, open);
      }
    };
  }

  /** The decision of a policy. */
  @FunctionalInterface
  interface Decision {
    /** Returns what to do now. */
    CapacityPlanner.Plan plan(
        String dataCentre,
        long nowMillis,
        double concurrent,
        ImmutableList<ListedUpstream> upstreams,
        Predicate<Market> open);
  }
}
