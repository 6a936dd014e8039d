package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.lease.Backoff;

/**
 * The intervals of usage counting and reporting, in milliseconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param windowMillis the length of a reporting window
 * @param flushMillis how often a VM writes its counters to the table service
 * @param sealDelayMillis the delay between the end of a window and its sealing by a VM
 * @param copyGapMillis the minimum interval between two batches to the same peer
 * @param copyTimeoutMillis the time after which an unacknowledged batch is sent again
 * @param copyAgeMillis the age at which a copy holder writes a copy on behalf of its owner
 * @param deadAfterMillis how long an incarnation's row may stay unchanged before windows are frozen
 *     without waiting for its seal
 * @param scanMillis how often the holder of the reports' lease scans the incarnations
 * @param requestTimeoutMillis the time after which a store operation is treated as lost
 * @param retentionWindows the number of windows for which late usage is still billed
 * @param backoff the retry delays after failed store operations
 */
public record UsageSettings(
    long windowMillis,
    long flushMillis,
    long sealDelayMillis,
    long copyGapMillis,
    long copyTimeoutMillis,
    long copyAgeMillis,
    long deadAfterMillis,
    long scanMillis,
    long requestTimeoutMillis,
    int retentionWindows,
    Backoff backoff) {
  private static final long WINDOW_MILLIS = 300_000;
  private static final long FLUSH_MILLIS = 30_000;
  private static final long SEAL_DELAY_MILLIS = 1_000;
  private static final long COPY_GAP_MILLIS = 10;
  private static final long COPY_TIMEOUT_MILLIS = 50;
  private static final long COPY_AGE_MILLIS = 45_000;
  private static final long DEAD_AFTER_MILLIS = 90_000;
  private static final long SCAN_MILLIS = 10_000;
  private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
  private static final int RETENTION_WINDOWS = 24;
  private static final Backoff BACKOFF = new Backoff(500, 10_000);

  /** Checks the fields. */
  public UsageSettings {
    checkArgument(windowMillis > 0, "windowMillis is %s, expected > 0", windowMillis);
    checkArgument(flushMillis > 0, "flushMillis is %s, expected > 0", flushMillis);
    checkArgument(sealDelayMillis >= 0, "sealDelayMillis is %s, expected >= 0", sealDelayMillis);
    checkArgument(
        copyTimeoutMillis > 0, "copyTimeoutMillis is %s, expected > 0", copyTimeoutMillis);
    checkArgument(
        copyAgeMillis > flushMillis,
        "copyAgeMillis is %s, expected > flushMillis (%s)",
        copyAgeMillis,
        flushMillis);
    checkArgument(
        deadAfterMillis > copyAgeMillis,
        "deadAfterMillis is %s, expected > copyAgeMillis (%s)",
        deadAfterMillis,
        copyAgeMillis);
    checkArgument(scanMillis > 0, "scanMillis is %s, expected > 0", scanMillis);
    checkArgument(
        requestTimeoutMillis > 0, "requestTimeoutMillis is %s, expected > 0", requestTimeoutMillis);
    checkArgument(retentionWindows > 0, "retentionWindows is %s, expected > 0", retentionWindows);
    checkNotNull(backoff, "backoff");
  }

  /** Returns the settings used in production. */
  public static UsageSettings defaults() {
    return new UsageSettings(
        WINDOW_MILLIS,
        FLUSH_MILLIS,
        SEAL_DELAY_MILLIS,
        COPY_GAP_MILLIS,
        COPY_TIMEOUT_MILLIS,
        COPY_AGE_MILLIS,
        DEAD_AFTER_MILLIS,
        SCAN_MILLIS,
        REQUEST_TIMEOUT_MILLIS,
        RETENTION_WINDOWS,
        BACKOFF);
  }

  /** Returns a copy of these settings with the given window length. */
  public UsageSettings withWindowMillis(long millis) {
    return new UsageSettings(
        millis,
        flushMillis,
        sealDelayMillis,
        copyGapMillis,
        copyTimeoutMillis,
        copyAgeMillis,
        deadAfterMillis,
        scanMillis,
        requestTimeoutMillis,
        retentionWindows,
        backoff);
  }

  /** Returns the start of the window that contains the given time since the Unix epoch. */
  public long windowStartMillis(long epochMillis) {
    return Math.floorDiv(epochMillis, windowMillis) * windowMillis;
  }
}
