package io.briarward.core.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Bounds the current time of a store's clock, as told by the store's responses.
 *
 * <p>The store reads its clock after a call was sent and before the response is handled. A process
 * that was frozen handles a response long after it was sent, so a reading is no estimate but bounds
 * the offset between the clocks from both sides, and further readings narrow these bounds.
 *
 * <p>The process's monotonic clock does not count the time of a suspension. After one, both bounds
 * are too early until the next reading, which contradicts the earlier ones and replaces them. The
 * earliest time therefore never exceeds the store's time, while the latest time may fall short of
 * it.
 *
 * <p>All times are in milliseconds. Not thread-safe.
 */
public final class StoreClock {
  /** The time in which one of the clocks gains at most a millisecond on the other. */
  private static final long MILLIS_PER_DRIFT_MILLI = 1_000;

  /** The resolution of both clocks. */
  private static final long TICK_MILLIS = 1;

  private boolean known;
  private long lastReadingMillis;
  private Bound earliest = new Bound(0, 0);
  private Bound latest = new Bound(0, 0);

  /** A bound of the offset from the process's clock to the store's, valid at a time. */
  private record Bound(long offsetMillis, long atMillis) {
    long driftMillis(long nowMillis) {
      long elapsedMillis = Math.max(0, nowMillis - atMillis);
      return (elapsedMillis + MILLIS_PER_DRIFT_MILLI - 1) / MILLIS_PER_DRIFT_MILLI;
    }
  }

  private StoreClock() {}

  /** Creates a clock without readings. */
  public static StoreClock create() {
    return new StoreClock();
  }

  /**
   * Handles a response with a reading of the store's clock.
   *
   * @param sentAtMillis when the call was sent, after the previous response was handled
   * @param handledAtMillis when the response is handled
   * @param storeMillis the time of the store's clock in the response
   */
  public void onReading(long sentAtMillis, long handledAtMillis, long storeMillis) {
    checkArgument(
        sentAtMillis <= handledAtMillis,
        "sentAtMillis is %s, expected <= %s",
        sentAtMillis,
        handledAtMillis);
    Bound lower = new Bound(storeMillis - handledAtMillis - TICK_MILLIS, handledAtMillis);
    Bound upper = new Bound(storeMillis - sentAtMillis + TICK_MILLIS, sentAtMillis);
    boolean consistent =
        known
            && lower.offsetMillis() <= latestOffsetMillis(handledAtMillis)
            && upper.offsetMillis() >= earliestOffsetMillis(handledAtMillis);
    if (!consistent || lower.offsetMillis() >= earliestOffsetMillis(handledAtMillis)) {
      earliest = lower;
    }
    if (!consistent || upper.offsetMillis() <= latestOffsetMillis(handledAtMillis)) {
      latest = upper;
    }
    lastReadingMillis = storeMillis;
    known = true;
  }

  /** Returns whether there was a reading. */
  public boolean known() {
    return known;
  }

  /** Returns the earliest time that the store's clock may show now; never later than it does. */
  public long earliestMillis(long nowMillis) {
    checkState(known, "no reading");
    return nowMillis + earliestOffsetMillis(nowMillis);
  }

  /** Returns the latest time that the store's clock may show now, but for a suspension. */
  public long latestMillis(long nowMillis) {
    checkState(known, "no reading");
    return nowMillis + latestOffsetMillis(nowMillis);
  }

  /** Returns the least time that has passed since the store took the last reading. */
  public long readingAgeMillis(long nowMillis) {
    return Math.max(0, earliestMillis(nowMillis) - lastReadingMillis);
  }

  private long earliestOffsetMillis(long nowMillis) {
    return earliest.offsetMillis() - earliest.driftMillis(nowMillis);
  }

  private long latestOffsetMillis(long nowMillis) {
    return latest.offsetMillis() + latest.driftMillis(nowMillis);
  }
}
