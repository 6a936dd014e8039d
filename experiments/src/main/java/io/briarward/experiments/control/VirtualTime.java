package io.briarward.experiments.control;

import java.util.PriorityQueue;

/** A virtual clock that runs scheduled actions as it advances. Not thread-safe. */
final class VirtualTime {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMillis;
  private long scheduled;

  private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  long nowMillis() {
    return nowMillis;
  }

  void after(long delayMillis, Runnable action) {
    scheduled++;
    events.add(new Event(nowMillis + delayMillis, scheduled, action));
  }

  void advanceBy(long millis) {
    long untilMillis = nowMillis + millis;
    while (!events.isEmpty() && events.peek().atMillis <= untilMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis;
      event.action.run();
    }
    nowMillis = untilMillis;
  }
}
