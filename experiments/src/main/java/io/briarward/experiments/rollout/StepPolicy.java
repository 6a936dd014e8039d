package io.briarward.experiments.rollout;

/**
 * The scheduling policy of a {@link StepSimulation} run.
 *
 * @param name the name printed in the table
 * @param extraAttemptShare the budget of extra attempts as a share of the samples
 * @param leastLoaded whether samplers are chosen by load and weight version, else round robin
 * @param checksDuringRun whether staleness is checked while samples run, else at delivery only
 */
record StepPolicy(
    String name, double extraAttemptShare, boolean leastLoaded, boolean checksDuringRun) {
  private static final int QUEUED_BATCHES = 4;

  /**
   * Returns the maximum number of attempts in flight. It is higher with round robin, because
   * samplers then queue attempts themselves.
   */
  int maxInFlight(StepScenario scenario) {
    int running = scenario.samplers() * scenario.batchLimit();
    return leastLoaded ? running : QUEUED_BATCHES * running;
  }
}
