package io.briarward.experiments.control;

import com.google.common.collect.ImmutableList;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;

/** Compares policies for ordering upstreams over several days of virtual time with reclaims. */
public final class CapacityPolicies implements Experiment {
  private static final int DAYS = 10;

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d, %d days, 3 data centres%n", seed, DAYS);
    out.printf(
        "%-28s %10s %10s %12s %14s %14s %14s%n",
        "policy",
        "cost/day",
        "served %",
        "cost/served",
        "reclaimable %",
        "cut work/day",
        "harm/reclaim");
    ImmutableList<CapacityPolicy> policies =
        ImmutableList.of(
            CapacityPolicy.fixed("always on demand, peak", 14),
            CapacityPolicy.byUtilisation("by utilisation, on demand", 0),
            CapacityPolicy.byUtilisation("by utilisation, half", 0.5),
            CapacityPolicy.planned("planner, on demand", 0),
            CapacityPolicy.planned("planner, half reclaimable", 0.5),
            CapacityPolicy.planned("planner, all reclaimable", 1));
    for (CapacityPolicy policy : policies) {
      CapacitySimulation.Result result = new CapacitySimulation(seed, policy).run(DAYS);
      out.printf(
          "%-28s %10.0f %10.3f %12.4f %14.1f %14.0f %14.1f%n",
          policy.name(),
          result.cost() / DAYS,
          100 * result.served() / result.demanded(),
          result.cost() / result.served() * 3_600,
          100 * result.servedOnReclaimable() / result.served(),
          result.interrupted() / DAYS,
          result.reclaims() == 0 ? 0 : result.unservedAfterReclaim() / result.reclaims());
    }
    out.println("cost in units of an on-demand hour; served, cut and harm in request-seconds");
  }
}
