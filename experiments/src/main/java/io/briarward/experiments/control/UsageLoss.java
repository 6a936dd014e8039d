package io.briarward.experiments.control;

import io.briarward.experiments.Experiment;
import java.io.PrintStream;

/** Compares billed with executed requests while VMs are killed, and measures report delays. */
public final class UsageLoss implements Experiment {
  private static final long[] KILL_EVERY_MILLIS = {0, 600_000, 60_000, 20_000};

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d, 9 VMs in 3 data centres, 1 h of load, windows of 300 s%n", seed);
    out.printf(
        "%7s %12s %8s %9s %9s %9s %10s %12s %12s%n",
        "copies",
        "kill every s",
        "kills",
        "ran",
        "answered",
        "billed",
        "lost",
        "late p50 s",
        "late max s");
    for (int copies = 0; copies <= 2; copies++) {
      for (long killEveryMillis : KILL_EVERY_MILLIS) {
        run(seed, copies, killEveryMillis, false, out);
      }
    }
    out.println("with the store out from 900 s to 1500 s:");
    run(seed, 2, 60_000, true, out);
  }

  private static void run(
      long seed, int copies, long killEveryMillis, boolean outage, PrintStream out) {
    UsageSimulation.Result result =
        new UsageSimulation(seed, copies, killEveryMillis, outage).run();
    out.printf(
        "%7d %12d %8d %9d %9d %9d %10d %12.1f %12.1f%n",
        copies,
        killEveryMillis / 1_000,
        result.kills(),
        result.ran(),
        result.answered(),
        result.billed(),
        Math.max(0, result.answered() - result.billed()),
        result.medianLateMillis() / 1_000.0,
        result.maxLateMillis() / 1_000.0);
  }
}
