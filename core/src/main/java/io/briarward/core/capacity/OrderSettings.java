package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.lease.Backoff;

/**
 * The intervals, timeouts and backoffs of ordering.
 *
 * <p>Immutable and thread-safe.
 *
 * @param planMillis the interval between plans in milliseconds, above 0
 * @param drainMillis the longest wait in milliseconds for a leaving upstream to be idle, above 0
 * @param requestTimeoutMillis the time in milliseconds after which an operation counts as lost,
 *     above 0
 * @param operationBackoff the delays after consecutive failed operations
 * @param marketBackoff the delays after a market had no capacity
 */
public record OrderSettings(
    long planMillis,
    long drainMillis,
    long requestTimeoutMillis,
    Backoff operationBackoff,
    Backoff marketBackoff) {
  private static final long PLAN_MILLIS = 2_000;
  private static final long DRAIN_MILLIS = 120_000;
  private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
  private static final Backoff OPERATION_BACKOFF = new Backoff(250, 5_000);
  private static final Backoff MARKET_BACKOFF = new Backoff(15_000, 240_000);

  /** Checks the fields. */
  public OrderSettings {
    checkArgument(planMillis > 0, "planMillis is %s, expected > 0", planMillis);
    checkArgument(drainMillis > 0, "drainMillis is %s, expected > 0", drainMillis);
    checkArgument(
        requestTimeoutMillis > 0, "requestTimeoutMillis is %s, expected > 0", requestTimeoutMillis);
    checkNotNull(operationBackoff, "operationBackoff");
    checkNotNull(marketBackoff, "marketBackoff");
  }

  /** Returns the default settings. */
  public static OrderSettings defaults() {
    return new OrderSettings(
        PLAN_MILLIS, DRAIN_MILLIS, REQUEST_TIMEOUT_MILLIS, OPERATION_BACKOFF, MARKET_BACKOFF);
  }
}
