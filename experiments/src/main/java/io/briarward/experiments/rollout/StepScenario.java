package io.briarward.experiments.rollout;

/**
 * The size and the faults of a run of the step simulation.
 *
 * @param samplers the number of samplers
 * @param batchLimit how many samples a sampler runs at once
 * @param tokensPerSecond the speed of one sample
 * @param groups the number of groups of a step
 * @param samplesPerGroup the number of samples of a group
 * @param bound the staleness bound in versions
 * @param trainMillis how long the trainer works on a step
 * @param versionEveryMillis how often a version is announced
 * @param slowEveryMillis how often some sampler becomes slow
 * @param slowForMillis for how long
 * @param slowdown by which factor
 * @param steps the number of steps
 */
record StepScenario(
    int samplers,
    int batchLimit,
    double tokensPerSecond,
    int groups,
    int samplesPerGroup,
    int bound,
    long trainMillis,
    long versionEveryMillis,
    long slowEveryMillis,
    long slowForMillis,
    double slowdown,
    int steps) {}
