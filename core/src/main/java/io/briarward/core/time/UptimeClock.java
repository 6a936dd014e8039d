package io.briarward.core.time;

/**
 * A clock that never goes back and counts the time of suspensions.
 *
 * <p>A VM has two clocks. The steady one does not count the time for which the VM is suspended. The
 * time of day counts it, but may be set ahead or back. Time that is counted too little lets a lease
 * or a cached view seem valid for too long, so this clock advances with the steady clock, and also
 * by what the time of day gains on it at once. A time of day that was set ahead cannot be told
 * apart from a suspension and is counted as one; a decision that must not be made early takes the
 * steady clock instead.
 *
 * <p>Starts at the first time of day. All times are in milliseconds. Not thread-safe.
 */
public final class UptimeClock {
  /**
   * The gain that is ignored; exceeds the resolution of the clocks and what synchronization adds.
   */
  private static final long MIN_GAIN_MILLIS = 50;

  private boolean started;
  private long timeOfDayLeadMillis;
  private long uptimeLeadMillis;

  private UptimeClock() {}

  /** Creates a clock without readings. */
  public static UptimeClock create() {
    return new UptimeClock();
  }

  /**
   * Returns the time for readings of both clocks, taken together.
   *
   * @param steadyMillis the steady clock, not less than in the call before
   * @param timeOfDayMillis the time of day
   */
  public long read(long steadyMillis, long timeOfDayMillis) {
    long leadMillis = timeOfDayMillis - steadyMillis;
    if (!started) {
      started = true;
      timeOfDayLeadMillis = leadMillis;
      uptimeLeadMillis = leadMillis;
    }
    long gainMillis = leadMillis - timeOfDayLeadMillis;
    if (Math.abs(gainMillis) >= MIN_GAIN_MILLIS) {
      timeOfDayLeadMillis = leadMillis;
      uptimeLeadMillis += Math.max(0, gainMillis);
    }
    return steadyMillis + uptimeLeadMillis;
  }
}
