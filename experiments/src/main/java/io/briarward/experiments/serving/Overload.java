package io.briarward.experiments.serving;

import com.google.common.collect.ImmutableList;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;

/** Measures goodput by offered load, with callers that retry twice. */
public final class Overload implements Experiment {
  private static final ImmutableList<Double> LOADS = ImmutableList.of(0.5, 0.8, 1.0, 1.5, 2.0, 3.0);
  private static final int ORGANISATIONS = 8;
  private static final int RETRIES = 2;
  private static final long DURATION_MILLIS = 120_000;

  @Override
  public void run(long seed, PrintStream out) {
    double capacity = AdmissionTrial.capacityPerSecond();
    out.printf("overload seed=%d capacity=%.0f/s retries=%d%n", seed, capacity, RETRIES);
    out.printf("%12s %22s %22s%n", "load", "first come: goodput", "admission: goodput");
    for (double load : LOADS) {
      out.printf(
          "%12.1f %21.2f%% %21.2f%%%n",
          load, 100 * goodput(seed, load, false), 100 * goodput(seed, load, true));
    }
  }

  /** Returns the rate of requests answered before their deadline, as a share of the capacity. */
  private static double goodput(long seed, double load, boolean admissionControlled) {
    AdmissionTrial trial = new AdmissionTrial(seed, admissionControlled, RETRIES, ORGANISATIONS);
    double perOrganisation = load * AdmissionTrial.capacityPerSecond() / ORGANISATIONS;
    for (int i = 0; i < ORGANISATIONS; i++) {
      trial.scheduleArrivals("org-" + i, perOrganisation, DURATION_MILLIS);
    }
    trial.run(DURATION_MILLIS);
    double perSecond = trial.allAnsweredInTime() * 1_000.0 / DURATION_MILLIS;
    return perSecond / AdmissionTrial.capacityPerSecond();
  }
}
