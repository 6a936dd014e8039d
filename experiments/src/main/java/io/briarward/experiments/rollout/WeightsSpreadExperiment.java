package io.briarward.experiments.rollout;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.weights.SamplerReport;
import io.briarward.core.weights.SwapOrder;
import io.briarward.core.weights.SwapPlanner;
import io.briarward.core.weights.SwapSettings;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;

/** Measures the time until all samplers run a new weight version, at a limited fetch rate. */
public final class WeightsSpreadExperiment implements Experiment {
  private static final double STORE_FETCHES_PER_SECOND = 32;
  private static final long TICK_MILLIS = 250;
  private static final long MIN_SWAP_MILLIS = 800;
  private static final int SWAP_SPREAD_MILLIS = 400;
  private static final double FAILED_SHARE = 0.02;
  private static final long MAX_MILLIS = 600_000;
  private static final int[][] SAMPLERS_AND_DATA_CENTRES = {
    {12, 3}, {120, 4}, {1_200, 9}, {12_000, 32}
  };

  @Override
  public void run(long seed, PrintStream out) {
    out.printf(
        "seed %d; store %.0f fetches/s, split over the data centres; a swap takes %d to %d ms;"
            + " reports lag %d ms%n",
        seed,
        STORE_FETCHES_PER_SECOND,
        MIN_SWAP_MILLIS,
        MIN_SWAP_MILLIS + SWAP_SPREAD_MILLIS,
        TICK_MILLIS);
    out.printf(
        "%9s %12s %10s %10s %10s %9s %13s%n",
        "samplers", "data centres", "passing on", "failures", "last", "fetches", "least serving");
    for (int[] size : SAMPLERS_AND_DATA_CENTRES) {
      for (int transfers : new int[] {0, 2, 4}) {
        for (double failedShare : new double[] {0, FAILED_SHARE}) {
          print(size[0], size[1], transfers, failedShare, seed, out);
        }
      }
    }
  }

  private static void print(
      int samplers,
      int dataCentres,
      int transfers,
      double failedShare,
      long seed,
      PrintStream out) {
    long lastMillis = 0;
    int fetches = 0;
    double leastServing = 1;
    for (int centre = 0; centre < dataCentres; centre++) {
      int size = samplers / dataCentres + (centre < samplers % dataCentres ? 1 : 0);
      SwapSettings settings =
          SwapSettings.of(STORE_FETCHES_PER_SECOND / dataCentres).withTransfersPerSource(transfers);
      DataCentreSimulation simulation =
          new DataCentreSimulation(size, settings, failedShare, seed + centre);
      lastMillis = Math.max(lastMillis, simulation.run());
      fetches += simulation.fetches;
      leastServing = Math.min(leastServing, simulation.leastServing);
    }
    out.printf(
        "%9d %12d %10d %9.0f%% %8.2f s %9d %12.0f%%%n",
        samplers,
        dataCentres,
        transfers,
        100 * failedShare,
        lastMillis / 1e3,
        fetches,
        100 * leastServing);
  }

  /** Simulates the weight swaps of one data centre. */
  private static final class DataCentreSimulation {
    private final Map<String, VirtualSampler> samplers = new LinkedHashMap<>();
    private final Deque<SamplerReport> delayedReports = new ArrayDeque<>();
    private final SwapPlanner planner;
    private final double failedShare;
    private final Random random;
    private int fetches;
    private double leastServing = 1;

    DataCentreSimulation(int size, SwapSettings settings, double failedShare, long seed) {
      this.failedShare = failedShare;
      this.random = new Random(seed);
      for (int i = 0; i < size; i++) {
        samplers.put("s" + i, new VirtualSampler("s" + i, 1, 1, 1));
      }
      planner = SwapPlanner.create(settings, 0);
      planner.members(ImmutableSet.copyOf(samplers.keySet()));
      samplers.keySet().forEach(id -> report(samplers.get(id), 0));
      planner.target(2);
    }

    long run() {
      for (long now = 0; now < MAX_MILLIS; now += TICK_MILLIS) {
        long nowMillis = now;
        while (!delayedReports.isEmpty()) {
          planner.report(delayedReports.remove());
        }
        samplers.values().forEach(each -> each.advance(nowMillis, 0, (a, t, v, f) -> {}));
        samplers.values().forEach(each -> report(each, nowMillis));
        planner.poll(nowMillis, 1).forEach(order -> execute(order, nowMillis));
        long serving = samplers.values().stream().filter(s -> s.loading().isEmpty()).count();
        leastServing = Math.min(leastServing, (double) serving / samplers.size());
        if (samplers.values().stream().allMatch(sampler -> sampler.version() == 2)) {
          return nowMillis;
        }
      }
      return MAX_MILLIS;
    }

    private void report(VirtualSampler sampler, long nowMillis) {
      OptionalLong loading = sampler.loading();
      delayedReports.add(new SamplerReport(sampler.id(), sampler.version(), loading, 0, nowMillis));
    }

    private void execute(SwapOrder order, long nowMillis) {
      fetches += order.source().isEmpty() ? 1 : 0;
      boolean fails = random.nextDouble() < failedShare;
      long doneMillis = nowMillis + MIN_SWAP_MILLIS + random.nextInt(SWAP_SPREAD_MILLIS);
      samplers.get(order.sampler()).load(order.version(), doneMillis, !fails);
    }
  }
}
