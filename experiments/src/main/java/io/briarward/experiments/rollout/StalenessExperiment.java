package io.briarward.experiments.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;

/** Compares trainer idle time with staleness checked during the run and at delivery only. */
public final class StalenessExperiment implements Experiment {
  private static final int STEPS = 60;
  private static final ImmutableList<StepPolicy> POLICIES =
      ImmutableList.of(
          new StepPolicy("at delivery only, round robin", 0.1, false, false),
          new StepPolicy("at delivery only, least loaded", 0.1, true, false),
          new StepPolicy("at dispatch, running and delivery", 0.1, true, true));

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d; 8 samplers of 16, 32 groups x 8 samples%n", seed);
    out.println("a version every 40 s; trainer works 20 s per step; 60 steps");
    for (int bound = 1; bound <= 3; bound++) {
      out.printf("bound %d versions%n", bound);
      StepScenario scenario =
          new StepScenario(8, 16, 40, 32, 8, bound, 20_000, 40_000, 60_000, 45_000, 8, STEPS);
      StepTable.print(scenario, POLICIES, seed, out);
    }
  }
}
