package io.briarward.experiments.serving;

import io.briarward.experiments.Experiment;
import java.io.PrintStream;

/** The worst-served organisation while another sends ten times the capacity. */
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
    for (boolean controlled : new boolean[] {false, true}) {
      out.printf(
          "%-14s %17.2f%% %17.2f%%%n",
          controlled ? "admission" : "first come",
          100 * worst(seed, controlled, false),
          100 * worst(seed, controlled, true));
    }
  }

  /** Returns the smallest part of its requests that an organisation without flood got answered. */
  private static double worst(long seed, boolean controlled, boolean flooded) {
    AdmissionTrial trial = new AdmissionTrial(seed, controlled, RETRIES, ORGANISATIONS);
    double capacity = AdmissionTrial.capacityPerSecond();
    for (int i = 1; i < ORGANISATIONS; i++) {
      trial.arrivals("org-" + i, LOAD * capacity / ORGANISATIONS, DURATION_MILLIS);
    }
    double first = flooded ? FLOOD * capacity : LOAD * capacity / ORGANISATIONS;
    trial.arrivals("org-0", first, DURATION_MILLIS);
    trial.run(DURATION_MILLIS);
    double worst = 1;
    for (int i = 1; i < ORGANISATIONS; i++) {
      String organisation = "org-" + i;
      double part = (double) trial.answeredInTime(organisation) / trial.offered(organisation);
      worst = Math.min(worst, part);
    }
    return worst;
  }
}
