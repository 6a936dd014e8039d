package io.briarward.experiments.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;

/**
 * Measures trainer idle time and sample age with slow samplers and weight swaps, at the current
 * deployment size.
 */
public final class RolloutStepExperiment implements Experiment {
  private static final int STEPS = 60;
  private static final ImmutableList<StepPolicy> POLICIES =
      ImmutableList.of(
          new StepPolicy("round robin, no extra attempts", 0, false, true),
          new StepPolicy("least loaded, no extra attempts", 0, true, true),
          new StepPolicy("least loaded, extra 2%", 0.02, true, true),
          new StepPolicy("least loaded, extra 10%", 0.1, true, true));
  private static final StepScenario SLOW_SAMPLERS =
      new StepScenario(8, 16, 40, 32, 8, 1, 30_000, 240_000, 60_000, 45_000, 8, STEPS);
  private static final StepScenario NO_SLOW_SAMPLERS =
      new StepScenario(8, 16, 40, 32, 8, 1, 30_000, 240_000, 0, 0, 1, STEPS);

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d; 8 samplers of 16, 32 groups x 8 samples, bound 1 version%n", seed);
    out.println("a version every 240 s; trainer works 30 s per step; 60 steps");
    print("one sampler in turn 8 times slower for 45 s of each 60 s", SLOW_SAMPLERS, seed, out);
    print("no slow sampler", NO_SLOW_SAMPLERS, seed, out);
  }

  private static void print(String title, StepScenario scenario, long seed, PrintStream out) {
    out.println(title);
    StepTable.print(scenario, POLICIES, seed, out);
  }
}
