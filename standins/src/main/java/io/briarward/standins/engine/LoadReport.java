package io.briarward.standins.engine;

/**
 * The load of an engine at one moment.
 *
 * @param running how many completions are generated
 * @param queued how many wait
 * @param batchLimit how many can be generated at once
 * @param weightVersion the version that generates tokens
 * @param loadingVersion the version being loaded, 0 for none
 * @param measuredAtMillis when this was measured
 * @param kvTokens the tokens that running completions hold or will hold
 * @param kvLimit the limit on them
 */
record LoadReport(
    int running,
    int queued,
    int batchLimit,
    long weightVersion,
    long loadingVersion,
    long measuredAtMillis,
    long kvTokens,
    long kvLimit) {}
