package io.briarward.core.routing;

/**
 * A ring buffer of the number of this node's requests in flight at an upstream over time.
 *
 * <p>A load report also counts this node's requests. The history yields how many were in flight
 * when the report was measured. Not thread-safe.
 */
final class InFlightHistory {
  private static final int CAPACITY = 32;

  /** Changes within this time share one entry, so that the buffer spans a longer period. */
  private static final long RESOLUTION_MILLIS = 20;

  private final long[] timesMillis = new long[CAPACITY];
  private final int[] counts = new int[CAPACITY];
  private int newest = -1;
  private int length;

  void record(int count, long nowMillis) {
    if (length > 0 && nowMillis - timesMillis[newest] < RESOLUTION_MILLIS) {
      counts[newest] = count;
      return;
    }
    newest = (newest + 1) % CAPACITY;
    timesMillis[newest] = nowMillis;
    counts[newest] = count;
    length = Math.min(length + 1, CAPACITY);
  }

  /**
   * Returns the count at the given time: 0 before the first change, or the oldest count if the
   * buffer no longer covers the time.
   */
  int countAt(long timeMillis) {
    int count = 0;
    for (int i = 0; i < length; i++) {
      int index = Math.floorMod(newest - i, CAPACITY);
      if (timesMillis[index] <= timeMillis) {
        return counts[index];
      }
      count = counts[index];
    }
    return length < CAPACITY ? 0 : count;
  }
}
