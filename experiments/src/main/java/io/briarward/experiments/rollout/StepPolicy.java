package io.briarward.experiments.rollout;

/**
 * What a run of the step simulation does.
 *
 * @param name printed in the table
 * @param extraAttemptShare the budget of extra attempts as a share of the samples
 * @param leastLoaded whether samplers are chosen by load and weights, round robin otherwise
 * @param staleDuringRun whether age is checked while samples run, at delivery only otherwise
 */
record StepPolicy(
    String name, double extraAttemptShare, boolean leastLoaded, boolean staleDuringRun) {
  private static final int QUEUED_BATCHES = 4;

  /** Returns how many attempts may be in flight; round robin leaves the queueing to samplers. */
  int slots(StepScenario scenario) {
    int running = scenario.samplers() * scenario.batchLimit();
    return leastLoaded ? running : QUEUED_BATCHES * running;
  }
}
