package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The limits of weight swaps in one data centre.
 *
 * @param minServingShare the share of the live samplers that keeps serving, 0 to below 1; one
 *     sampler may swap at a time regardless of the share
 * @param fetchesPerSecond the data centre's share of the weight store's rate, above 0
 * @param transfersPerSource the number of concurrent transfers from one sampler to others; 0 if
 *     engines cannot transfer weights
 * @param swapTimeoutMillis the time after which an unconfirmed swap counts as failed
 * @param confirmGraceMillis the time after an order during which a report without a load is not
 *     taken as a failure
 * @param retryDelayMillis the delay before a retry, multiplied by the number of failures in a row
 * @param reportTimeoutMillis the age of the last report above which a sampler is not live
 */
public record SwapSettings(
    double minServingShare,
    double fetchesPerSecond,
    int transfersPerSource,
    long swapTimeoutMillis,
    long confirmGraceMillis,
    long retryDelayMillis,
    long reportTimeoutMillis) {
  private static final double DEFAULT_MIN_SERVING_SHARE = 0.5;
  private static final int DEFAULT_TRANSFERS_PER_SOURCE = 4;
  private static final long DEFAULT_SWAP_TIMEOUT_MILLIS = 6_000;
  private static final long DEFAULT_CONFIRM_GRACE_MILLIS = 1_500;
  private static final long DEFAULT_RETRY_DELAY_MILLIS = 250;
  private static final long DEFAULT_REPORT_TIMEOUT_MILLIS = 10_000;

  /** Checks the fields. */
  public SwapSettings {
    checkArgument(
        minServingShare >= 0 && minServingShare < 1,
        "minServingShare is %s, expected 0 to below 1",
        minServingShare);
    checkArgument(fetchesPerSecond > 0, "fetchesPerSecond is %s, expected > 0", fetchesPerSecond);
    checkArgument(
        transfersPerSource >= 0, "transfersPerSource is %s, expected >= 0", transfersPerSource);
    checkArgument(
        swapTimeoutMillis > 0, "swapTimeoutMillis is %s, expected > 0", swapTimeoutMillis);
    checkArgument(
        confirmGraceMillis >= 0, "confirmGraceMillis is %s, expected >= 0", confirmGraceMillis);
    checkArgument(retryDelayMillis >= 0, "retryDelayMillis is %s, expected >= 0", retryDelayMillis);
    checkArgument(
        reportTimeoutMillis > 0, "reportTimeoutMillis is %s, expected > 0", reportTimeoutMillis);
  }

  /** Returns the default limits with the given rate of fetches from the weight store. */
  public static SwapSettings of(double fetchesPerSecond) {
    return new SwapSettings(
        DEFAULT_MIN_SERVING_SHARE,
        fetchesPerSecond,
        DEFAULT_TRANSFERS_PER_SOURCE,
        DEFAULT_SWAP_TIMEOUT_MILLIS,
        DEFAULT_CONFIRM_GRACE_MILLIS,
        DEFAULT_RETRY_DELAY_MILLIS,
        DEFAULT_REPORT_TIMEOUT_MILLIS);
  }

  /** Returns these limits with the given number of concurrent transfers per sampler. */
  public SwapSettings withTransfersPerSource(int transfers) {
    return new SwapSettings(
        minServingShare,
        fetchesPerSecond,
        transfers,
        swapTimeoutMillis,
        confirmGraceMillis,
        retryDelayMillis,
        reportTimeoutMillis);
  }

  /** Returns how many of the given number of live samplers may swap at once. */
  int maxSwapping(int live) {
    return Math.max(1, (int) Math.floor(live * (1 - minServingShare)));
  }
}
