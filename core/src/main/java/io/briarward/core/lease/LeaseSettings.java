package io.briarward.core.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The times of a lease, in milliseconds of the monotonic clock.
 *
 * <p>Immutable and thread-safe.
 *
 * @param durationMillis how long one renewal lasts for its holder
 * @param renewAfterMillis the age at which the holder renews
 * @param watchMillis how often a candidate reads the row
 * @param requestTimeoutMillis when a store operation counts as lost
 * @param inFlightMillis the longest time from the lapse of a lease to the arrival of its last order
 * @param sendMarginMillis the least time left on the lease when an order is begun
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
  /**
   * The largest relative difference in rate between the monotonic clocks of two VMs, in percent.
   */
  public static final long CLOCK_DRIFT_PERCENT = 2;

  private static final long DURATION_MILLIS = 10_000;
  private static final long RENEW_AFTER_MILLIS = 3_000;
  private static final long WATCH_MILLIS = 2_000;
  private static final long REQUEST_TIMEOUT_MILLIS = 1_500;
  private static final long IN_FLIGHT_MILLIS = 2_000;
  private static final long SEND_MARGIN_MILLIS = 1_000;
  private static final Backoff BACKOFF = new Backoff(250, 5_000);

  /** Checks the fields. */
  public LeaseSettings {
    checkArgument(durationMillis > 0, "durationMillis is %s, expected > 0", durationMillis);
    checkArgument(
        renewAfterMillis > 0 && renewAfterMillis < durationMillis,
        "renewAfterMillis is %s, expected between 0 and %s",
        renewAfterMillis,
        durationMillis);
    checkArgument(watchMillis > 0, "watchMillis is %s, expected > 0", watchMillis);
    checkArgument(
        requestTimeoutMillis > 0, "requestTimeoutMillis is %s, expected > 0", requestTimeoutMillis);
    checkArgument(inFlightMillis >= 0, "inFlightMillis is %s, expected >= 0", inFlightMillis);
    checkArgument(
        sendMarginMillis >= 0 && sendMarginMillis < durationMillis,
        "sendMarginMillis is %s, expected between 0 and %s",
        sendMarginMillis,
        durationMillis);
    checkNotNull(backoff, "backoff");
  }

  /** Returns the settings used in production. */
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
   * Returns how long a successor waits after it first saw a row version.
   *
   * @param holderDurationMillis the duration that the present holder wrote into the row
   */
  long takeoverWaitMillis(long holderDurationMillis) {
    long guardedMillis = holderDurationMillis + inFlightMillis;
    return guardedMillis + guardedMillis * CLOCK_DRIFT_PERCENT / 100 + 1;
  }
}
