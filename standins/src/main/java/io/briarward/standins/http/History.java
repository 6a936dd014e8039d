package io.briarward.standins.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Records the values of a variable over time, so that they can be read with a lag.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the values
 */
public final class History<T> {
  private static final int MAX_ENTRIES = 4_096;

  private final Deque<Entry<T>> entries = new ArrayDeque<>();

  private record Entry<T>(long sinceMillis, T value) {}

  private History() {}

  /** Creates a history in which the variable has always had {@code value}. */
  public static <T> History<T> startingWith(T value) {
    History<T> history = new History<>();
    history.entries.add(new Entry<>(Long.MIN_VALUE, value));
    return history;
  }

  /**
   * Sets the value from {@code sinceMillis} on.
   *
   * @param sinceMillis not before that of the previous call
   */
  public void put(long sinceMillis, T value) {
    entries.addLast(new Entry<>(sinceMillis, value));
    if (entries.size() > MAX_ENTRIES) {
      entries.removeFirst();
    }
  }

  /** Returns the value at {@code timeMillis}, or the oldest value that is still recorded. */
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

  /** Returns the current value. */
  public T latest() {
    return entries.getLast().value();
  }
}
