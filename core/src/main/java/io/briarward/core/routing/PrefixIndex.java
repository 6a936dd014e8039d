package io.briarward.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which upstreams are likely to have a prefix cached.
 *
 * <p>Bounded: the least recently used prefix is dropped first, and each has at most {@value
 * #MAX_HOLDERS} holders. Not thread-safe.
 */
final class PrefixIndex {
  static final int MAX_HOLDERS = 4;

  /** An eviction reported this soon after a dispatch may be older than the dispatch. */
  private static final long EVENT_LAG_MILLIS = 2_000;

  /** Trust in what was learned before events were lost. */
  private static final double TRUST_AFTER_GAP = 0.5;

  private final int capacity;
  private final long retentionMillis;
  private final Map<Long, Holders> byPrefix;

  PrefixIndex(int capacity, long retentionMillis) {
    this.capacity = capacity;
    this.retentionMillis = retentionMillis;
    this.byPrefix = new Lru();
  }

  /** Records that the upstream has the prefix, or will have once it has run the request. */
  void stored(long prefix, UpstreamState state, long nowMillis) {
    byPrefix.computeIfAbsent(prefix, key -> new Holders()).put(state, nowMillis);
  }

  void evicted(long prefix, UpstreamState state, long nowMillis) {
    Holders holders = byPrefix.get(prefix);
    if (holders != null && holders.refreshedBefore(state, nowMillis - EVENT_LAG_MILLIS)) {
      holders.remove(state);
    }
  }

  /** Removes the upstream from the prefix, because a request found nothing cached. */
  void absent(long prefix, UpstreamState state) {
    Holders holders = byPrefix.get(prefix);
    if (holders != null) {
      holders.remove(state);
    }
  }

  /** Returns the holder with the given index, or null. */
  UpstreamState holder(long prefix, int index) {
    Holders holders = byPrefix.get(prefix);
    return holders == null ? null : holders.states[index];
  }

  /** Returns how likely the upstream has the prefix, from 0 to 1. */
  double likelihood(long prefix, UpstreamState state, long nowMillis) {
    Holders holders = byPrefix.get(prefix);
    return holders == null ? 0 : holders.likelihood(state, retentionMillis, nowMillis);
  }

  int size() {
    return byPrefix.size();
  }

  private final class Lru extends LinkedHashMap<Long, Holders> {
    private static final long serialVersionUID = 1L;

    Lru() {
      super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Holders> eldest) {
      return size() > capacity;
    }
  }

  private static final class Holders {
    private final UpstreamState[] states = new UpstreamState[MAX_HOLDERS];
    private final long[] refreshedAtMillis = new long[MAX_HOLDERS];
    private final int[] generations = new int[MAX_HOLDERS];

    void put(UpstreamState state, long nowMillis) {
      int index = indexOf(state);
      if (index < 0) {
        index = freeOrOldest();
      }
      states[index] = state;
      refreshedAtMillis[index] = nowMillis;
      generations[index] = state.cacheGeneration();
    }

    void remove(UpstreamState state) {
      int index = indexOf(state);
      if (index >= 0) {
        states[index] = null;
      }
    }

    boolean refreshedBefore(UpstreamState state, long timeMillis) {
      int index = indexOf(state);
      return index >= 0 && refreshedAtMillis[index] < timeMillis;
    }

    double likelihood(UpstreamState state, long retentionMillis, long nowMillis) {
      int index = indexOf(state);
      if (index < 0) {
        return 0;
      }
      double age = (double) (nowMillis - refreshedAtMillis[index]) / retentionMillis;
      double trust = generations[index] == state.cacheGeneration() ? 1 : TRUST_AFTER_GAP;
      return trust * Math.min(1, Math.max(0, 1 - age));
    }

    private int indexOf(UpstreamState state) {
      for (int i = 0; i < MAX_HOLDERS; i++) {
        if (states[i] == state) {
          return i;
        }
      }
      return -1;
    }

    private int freeOrOldest() {
      int oldest = 0;
      for (int i = 0; i < MAX_HOLDERS; i++) {
        if (states[i] == null) {
          return i;
        }
        if (refreshedAtMillis[i] < refreshedAtMillis[oldest]) {
          oldest = i;
        }
      }
      return oldest;
    }
  }
}
