package io.briarward.experiments.serving;

import io.briarward.experiments.Experiment;
import java.io.PrintStream;

/** Measures the worst-served organisation while another sends ten times the capacity. */
public final class Flood implements Experiment {
  private static final int ORGANISATIONS = 8;
  private static final double LOAD = 0.7;
  private static final double FLOOD = 10;
  private static final int RETRIES = 2;
  private static final long DURATION_MILLIS = 120_000;

  @Override
  public void run(long seed, PrintStream out) {
    out.printf(
        "flood seed=%d organisations=%d load=%.1f flood=%.0f times the capacity%n",
        seed, ORGANISATIONS, LOAD, FLOOD);
    out.printf("%-14s %18s %18s%n", "choice", "worst, no flood", "worst, flood");
    for (boolean admissionControlled : new boolean[] {false, true}) {
      out.printf(
          "%-14s %17.2f%% %17.2f%%%n",
          admissionControlled ? "admission" : "first come",
          100 * worst(seed, admissionControlled, false),
          100 * worst(seed, admissionControlled, true));
    }
  }

  /** Returns the smallest share of requests answered in time among the other organisations. */
  private static double worst(long seed, boolean admissionControlled, boolean flooded) {
    AdmissionTrial trial = new AdmissionTrial(seed, admissionControlled, RETRIES, ORGANISATIONS);
    double capacity = AdmissionTrial.capacityPerSecond();
    for (int i = 1; i < ORGANISATIONS; i++) {
      trial.scheduleArrivals("org-" + i, LOAD * capacity / ORGANISATIONS, DURATION_MILLIS);
    }
    double first = flooded ? FLOOD * capacity : LOAD * capacity / ORGANISATIONS;
    trial.scheduleArrivals("org-0", first, DURATION_MILLIS);
    trial.run(DURATION_MILLIS);
    double worst = 1;
    for (int i = 1; i < ORGANISATIONS; i++) {
      String organisation = "org-" + i;
      double share = (double) trial.answeredInTime(organisation) / trial.offered(organisation);
      worst = Math.min(worst, share);
    }
    return worst;
  }
}
