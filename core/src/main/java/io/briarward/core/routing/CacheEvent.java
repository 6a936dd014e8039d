package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A change of an engine's prefix cache, published late and with gaps.
 *
 * @param sequence the engine's event number; a jump tells that events were lost
 * @param type what happened
 * @param prefixHash the hash of the prefix
 */
public record CacheEvent(long sequence, Type type, long prefixHash) {
  /** What happened to a prefix. */
  public enum Type {
    /** The prefix is cached. */
    STORED,
    /** The prefix is no longer cached. */
    EVICTED
  }

  /** Checks the fields. */
  public CacheEvent {
    checkNotNull(type, "type");
  }
}
