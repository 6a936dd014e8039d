package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A change of an engine's prefix cache.
 *
 * <p>Engines publish these events with a delay, and some are lost.
 *
 * @param sequence the engine's event number; a gap means that events were lost
 * @param type the kind of change
 * @param prefixHash the hash of the prefix
 */
public record CacheEvent(long sequence, Type type, long prefixHash) {
  /** The kind of change. */
  public enum Type {
    /** The prefix was added to the cache. */
    STORED,
    /** The prefix was removed from the cache. */
    EVICTED
  }

  /** Checks the fields. */
  public CacheEvent {
    checkNotNull(type, "type");
  }
}
