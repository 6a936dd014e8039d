package io.briarward.core.lease;

/**
 * Notices that the process stood still while its monotonic clock did not count.
 *
 * <p>A suspended VM's monotonic clock stops while its wall clock goes on, so a lease that is timed
 * by the former looks younger than it is. A forward step of the wall clock looks the same and is
 * treated alike, which costs one renewal. Not thread-safe.
 */
public final class SuspensionDetector {
  /** The least gap in milliseconds; above the adjustments of time synchronisation. */
  private static final long MIN_GAP_MILLIS = 300;

  private long offsetMillis;
  private boolean known;

  private SuspensionDetector() {}

  /** Returns a detector that has seen no clock yet. */
  public static SuspensionDetector create() {
    return new SuspensionDetector();
  }

  /** Returns whether the wall clock ran ahead of the monotonic one since the last call. */
  public boolean suspended(long monotonicMillis, long wallMillis) {
    long offset = wallMillis - monotonicMillis;
    boolean ahead = known && offset - offsetMillis > MIN_GAP_MILLIS;
    known = true;
    offsetMillis = offset;
    return ahead;
  }
}
