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

/** Decides which upstreams to start and stop in a data centre. */
interface CapacityPolicy {
  /** Returns the name that is printed in the table. */
  String name();

  /**
   * Returns the upstreams to start and stop.
   *
   * @param concurrent the demand in concurrent requests
   * @param available whether upstreams of a market can be ordered
   */
  CapacityPlanner.Plan plan(
      String dataCentre,
      long nowMillis,
      double concurrent,
      ImmutableList<ListedUpstream> upstreams,
      Predicate<Market> available);

  /** Keeps a fixed number of on-demand upstreams. */
  static CapacityPolicy fixed(String name, int count) {
    return of(
        name,
        (dataCentre, nowMillis, concurrent, upstreams, available) ->
            new CapacityPlanner.Plan(
                Math.max(0, count - upstreams.size()), 0, ImmutableList.of(), 0));
  }

  /** Starts one upstream above 80 % utilisation and stops one below 50 %. */
  static CapacityPolicy byUtilisation(String name, double reclaimableShare) {
    return of(
        name,
        (dataCentre, nowMillis, concurrent, upstreams, available) ->
            utilisationPlan(concurrent, upstreams, available, reclaimableShare));
  }

  /** Uses the {@link CapacityPlanner} that nodes run. */
  static CapacityPolicy planned(String name, double reclaimableShare) {
    Map<String, DemandForecast> forecasts = new HashMap<>();
    CapacityPlanner planner = CapacityPlanner.create();
    return of(
        name,
        (dataCentre, nowMillis, concurrent, upstreams, available) -> {
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
          return planner.plan(need, upstreams, available);
        });
  }

  private static CapacityPlanner.Plan utilisationPlan(
      double concurrent,
      ImmutableList<ListedUpstream> upstreams,
      Predicate<Market> available,
      double reclaimableShare) {
    long running =
        upstreams.stream().filter(each -> each.state() == ListedUpstream.State.RUNNING).count();
    long reclaimable =
        upstreams.stream().filter(each -> each.market() == Market.RECLAIMABLE).count();
    double utilisation =
        concurrent / Math.max(1.0, running * (double) CapacitySimulation.MAX_CONCURRENT);
    boolean starting = running < upstreams.size();
    boolean startReclaimable =
        reclaimable < reclaimableShare * (upstreams.size() + 1)
            && available.test(Market.RECLAIMABLE);
    if (upstreams.isEmpty() || (utilisation > 0.8 && !starting)) {
      return new CapacityPlanner.Plan(
          startReclaimable ? 0 : 1, startReclaimable ? 1 : 0, ImmutableList.of(), 0);
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
          Predicate<Market> available) {
        return decision.plan(dataCentre, nowMillis, concurrent, upstreams, available);
      }
    };
  }

  /** The {@link CapacityPolicy#plan} of a policy. */
  @FunctionalInterface
  interface Decision {
    /** Returns the upstreams to start and stop. */
    CapacityPlanner.Plan plan(
        String dataCentre,
        long nowMillis,
        double concurrent,
        ImmutableList<ListedUpstream> upstreams,
        Predicate<Market> available);
  }
}
