package io.briarward.standins.engine;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;

/** The published changes of the prefix cache, which appear late and may have gaps. Without I/O. */
final class CacheEvents {
  private static final int MAX_EVENTS = 4_096;

  private final Deque<Event> events = new ArrayDeque<>();
  private long lastSequence;

  /** What happened to a prefix. */
  enum Type {
    /** The prefix entered the cache. */
    STORED,
    /** The prefix left the cache. */
    EVICTED
  }

  /**
   * A change of the cache.
   *
   * @param sequence one more than that of the event before, lost ones included
   * @param type what happened
   * @param prefixHash the hash of the prefix
   * @param visibleMillis when it is published
   */
  record Event(long sequence, Type type, String prefixHash, long visibleMillis) {}

  /** Records an event; a lost one uses a sequence number but is never published. */
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

  /** Returns the events published by now whose sequence number is above {@code after}. */
  ImmutableList<Event> after(long after, long nowMillis) {
    return events.stream()
        .filter(event -> event.sequence() > after && event.visibleMillis() <= nowMillis)
        .collect(ImmutableList.toImmutableList());
  }
}
