package io.briarward.standins.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A log of prefix cache changes that are published with a delay and may have gaps.
 *
 * <p>Does no I/O. Not thread-safe.
 */
final class CacheEvents {
  private static final int MAX_EVENTS = 4_096;

  private final Deque<Event> events = new ArrayDeque<>();
  private long lastSequence;

  /** The kinds of change. */
  enum Type {
    /** The prefix entered the cache. */
    STORED,
    /** The prefix left the cache. */
    EVICTED
  }

  /**
   * A change to the cache.
   *
   * @param sequence the sequence number, which increases by one per event including lost ones
   * @param type the kind of change
   * @param prefixHash the hash of the prefix
   * @param visibleMillis when the event is published, in milliseconds since the epoch
   */
  record Event(long sequence, Type type, String prefixHash, long visibleMillis) {}

  /** Records an event; a lost event consumes a sequence number but is never published. */
  void record(Type type, String prefixHash, long visibleMillis, boolean lost) {
    lastSequence++;
    if (lost) {
      return;
    }
    events.addLast(new Event(lastSequence, type, prefixHash, visibleMillis));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /**
   * Returns the events published by {@code nowMillis} with sequence numbers above {@code after}.
   */
  ImmutableList<Event> after(long after, long nowMillis) {
    return events.stream()
        .filter(event -> event.sequence() > after && event.visibleMillis() <= nowMillis)
        .collect(ImmutableList.toImmutableList());
  }
}
