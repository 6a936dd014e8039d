package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Durations that govern a lease, in milliseconds of the monotonic clock.
 *
 * <p>Immutable and thread-safe.
 *
 * @param durationMillis how long the lease lasts for its holder after each renewal, > 0
 * @param renewAfterMillis the time after a renewal at which the holder renews again, > 0 and <
 *     {@code durationMillis}
 * @param watchMillis the interval at which a candidate reads the row, > 0
 * @param requestTimeoutMillis the time after which an unanswered store operation counts as failed,
 *     > 0
 * @param inFlightMillis the maximum time from the expiry of a lease to the arrival of the last
 *     order sent under it, >= 0
 * @param sendMarginMillis how long before its expiry the lease stops permitting new orders, >= 0
 *     and < {@code durationMillis}
 * @param backoff the delays after failed store operations
 */
public record LeaseSettings(
    long durationMillis,
    long renewAfterMillis,
    long watchMillis,
    long requestTimeoutMillis,
    long inFlightMillis,
    long sendMarginMillis,
    Backoff backoff) {
  /** The maximum difference in rate between the monotonic clocks of two VMs, in percent. */
  public static final long CLOCK_DRIFT_PERCENT = 2;

  private static final long DURATION_MILLIS = 10_000;
  private static final long RENEW_AFTER_MILLIS = 3_000;
  private static final long WATCH_MILLIS = 2_000;
  private static final long REQUEST_TIMEOUT_MILLIS = 1_500;
  private static final long IN_FLIGHT_MILLIS = 2_000;
  private static final long SEND_MARGIN_MILLIS = 1_000;
  private static final Backoff BACKOFF = new Backoff(250, 5_000);

  /** Validates the components. */
  public LeaseSettings {
    checkArgument(durationMillis > 0, "durationMillis is %s, expected > 0", durationMillis);
    checkArgument(
        renewAfterMillis > 0 && renewAfterMillis < durationMillis,
        "renewAfterMillis is %s, expected > 0 and < %s",
        renewAfterMillis,
        durationMillis);
    checkArgument(watchMillis > 0, "watchMillis is %s, expected > 0", watchMillis);
    checkArgument(
        requestTimeoutMillis > 0, "requestTimeoutMillis is %s, expected > 0", requestTimeoutMillis);
    checkArgument(inFlightMillis >= 0, "inFlightMillis is %s, expected >= 0", inFlightMillis);
    checkArgument(
        sendMarginMillis >= 0 && sendMarginMillis < durationMillis,
        "sendMarginMillis is %s, expected >= 0 and < %s",
        sendMarginMillis,
        durationMillis);
    checkNotNull(backoff, "backoff");
  }

  /** Returns the production settings. */
  public static LeaseSettings defaults() {
    return new LeaseSettings(
        DURATION_MILLIS,
        RENEW_AFTER_MILLIS,
        WATCH_MILLIS,
        REQUEST_TIMEOUT_MILLIS,
        IN_FLIGHT_MILLIS,
        SEND_MARGIN_MILLIS,
        BACKOFF);
  }

  /**
   * Returns how long a successor waits after it first saw the row's version: until the lease has
   * expired and its last order has arrived, even if the two clocks differ by the maximum drift.
   *
   * @param holderDurationMillis the duration that the current holder wrote to the row
   */
  long takeoverWaitMillis(long holderDurationMillis) {
    long guardedMillis = holderDurationMillis + inFlightMillis;
    return guardedMillis + guardedMillis * CLOCK_DRIFT_PERCENT / 100 + 1;
  }
}
