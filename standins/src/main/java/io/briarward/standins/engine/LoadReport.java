package io.briarward.standins.engine;

/**
 * A snapshot of an engine's load.
 *
 * <p>The component names are the JSON fields of the response.
 *
 * @param running the number of running completions
 * @param queued the number of waiting completions
 * @param batchLimit the maximum number of running completions
 * @param weightVersion the weight version in use
 * @param loadingVersion the weight version being loaded, or 0 if none is
 * @param measuredAtMillis when the load was measured, in milliseconds since the epoch
 * @param kvTokens the KV cache tokens reserved for the running completions
 * @param kvLimit the maximum of {@code kvTokens}
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
