package io.briarward.standins.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The values that something had over time, read with a lag.
 *
 * @param <T> the type of the values
 */
public final class History<T> {
  private static final int MAX_ENTRIES = 4_096;

  private final Deque<Entry<T>> entries = new ArrayDeque<>();

  private record Entry<T>(long sinceMillis, T value) {}

  private History() {}

  /** Returns a history of something that had the value from the beginning. */
  public static <T> History<T> startingWith(T value) {
    History<T> history = new History<>();
    history.entries.add(new Entry<>(Long.MIN_VALUE, value));
    return history;
  }

  /** Sets the value from the given time on, which is not before that of the last call. */
  public void put(long sinceMillis, T value) {
    entries.addLast(new Entry<>(sinceMillis, value));
    if (entries.size() > MAX_ENTRIES) {
      entries.removeFirst();
    }
  }

  /** Returns the value at the given time, or the oldest that is still known. */
  public T asOf(long timeMillis) {
    T value = entries.getFirst().value();
    for (Entry<T> entry : entries) {
      if (entry.sinceMillis() > timeMillis) {
        break;
      }
      value = entry.value();
    }
    return value;
  }

  /** Returns the present value. */
  public T latest() {
    return entries.getLast().value();
  }
}
