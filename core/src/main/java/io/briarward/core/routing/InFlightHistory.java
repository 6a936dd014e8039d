package io.briarward.core.routing;

/**
 * The number of own requests in flight at an upstream over the last seconds.
 *
 * <p>A load report counts own requests too; the history tells how many of them it counted. Not
 * thread-safe.
 */
final class InFlightHistory {
  private static final int SIZE = 32;

  /** Changes within this time replace one another, so that the ring spans some seconds. */
  private static final long RESOLUTION_MILLIS = 20;

  private final long[] timesMillis = new long[SIZE];
  private final int[] counts = new int[SIZE];
  private int newest = -1;
  private int length;

  void record(int count, long nowMillis) {
    if (length > 0 && nowMillis - timesMillis[newest] < RESOLUTION_MILLIS) {
      counts[newest] = count;
      return;
    }
    newest = (newest + 1) % SIZE;
    timesMillis[newest] = nowMillis;
    counts[newest] = count;
    length = Math.min(length + 1, SIZE);
  }

  /** Returns the count at the given time, or the oldest known one if that is later. */
  int at(long timeMillis) {
    int count = 0;
    for (int i = 0; i < length; i++) {
      int index = Math.floorMod(newest - i, SIZE);
      if (timesMillis[index] <= timeMillis) {
        return counts[index];
      }
      count = counts[index];
    }
    return length < SIZE ? 0 : count;
  }
}
