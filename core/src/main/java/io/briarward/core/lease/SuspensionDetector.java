package io.briarward.core.lease;

/**
 * Detects suspensions of the VM by comparing the wall clock with the monotonic clock.
 *
 * <p>The monotonic clock of a suspended VM stops while its wall clock advances, so a lease timed by
 * the monotonic clock expires later than it should. A forward step of the wall clock cannot be told
 * apart from a suspension and is reported as one, which costs one renewal. Not thread-safe.
 */
public final class SuspensionDetector {
  /**
   * The clock difference above which a suspension is reported. Exceeds the adjustments of time
   * synchronization, which would otherwise be reported as suspensions.
   */
  private static final long MIN_GAP_MILLIS = 300;

  private long offsetMillis;
  private boolean hasOffset;

  private SuspensionDetector() {}

  /** Creates a detector without a previous reading, so its first call reports no suspension. */
  public static SuspensionDetector create() {
    return new SuspensionDetector();
  }

  /**
   * Returns whether the wall clock gained on the monotonic clock by more than the tolerance since
   * the last call.
   */
  public boolean detectSuspension(long monotonicMillis, long wallMillis) {
    long offset = wallMillis - monotonicMillis;
    boolean isSuspended = hasOffset && offset - offsetMillis > MIN_GAP_MILLIS;
    hasOffset = true;
    offsetMillis = offset;
    return isSuspended;
  }
}
