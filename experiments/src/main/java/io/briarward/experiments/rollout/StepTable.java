package io.briarward.experiments.rollout;

import com.google.common.collect.ImmutableList;
import java.io.PrintStream;

/** Prints the measurements of {@link StepSimulation} runs, one row for each policy. */
final class StepTable {
  private StepTable() {}

  static void print(
      StepScenario scenario, ImmutableList<StepPolicy> policies, long seed, PrintStream out) {
    out.printf(
        "  %-34s %9s %9s %9s %9s %8s %8s %7s %7s%n",
        "policy",
        "idle mean",
        "idle p99",
        "step mean",
        "step p99",
        "age mean",
        "age p99",
        "extra",
        "wasted");
    for (StepPolicy policy : policies) {
      StepSimulation.Result result = new StepSimulation(scenario, policy, seed).run();
      out.printf(
          "  %-34s %7.1f s %7.1f s %7.1f s %7.1f s %8.2f %8.0f %6.1f%% %6.1f%%%n",
          policy.name(),
          result.idleSeconds().mean(),
          result.idleSeconds().quantile(0.99),
          result.stepSeconds().mean(),
          result.stepSeconds().quantile(0.99),
          result.ages().mean(),
          result.ages().quantile(0.99),
          100 * result.extraAttemptShare(),
          100 * result.wastedShare());
    }
  }
}
