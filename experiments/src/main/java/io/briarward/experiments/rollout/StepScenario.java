package io.briarward.experiments.rollout;

/**
 * The size and the faults of a {@link StepSimulation} run.
 *
 * @param samplers the number of samplers
 * @param batchLimit the maximum number of samples that a sampler runs at once
 * @param tokensPerSecond the generation rate of each running sample
 * @param groups the number of groups of a step
 * @param samplesPerGroup the number of samples of a group
 * @param bound the staleness bound in versions
 * @param trainMillis how long the trainer trains on the samples of a step
 * @param versionEveryMillis the interval between announced weight versions
 * @param slowEveryMillis the interval between slowdowns of a random sampler, 0 for none
 * @param slowForMillis the duration of a slowdown
 * @param slowdown the factor by which a slow sampler is slower
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
