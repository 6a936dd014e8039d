package io.briarward.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An index of the upstreams that are likely to have a prefix cached.
 *
 * <p>The index is bounded: it drops the least recently used prefix first, and keeps at most {@value
 * #MAX_HOLDERS} holders of each prefix. Not thread-safe.
 */
final class PrefixIndex {
  static final int MAX_HOLDERS = 4;

  /** Evictions reported within this time of a refresh are ignored, as they may predate it. */
  private static final long MAX_EVENT_LAG_MILLIS = 2_000;

  /** Factor applied to the probability of entries recorded before cache events were lost. */
  private static final double CONFIDENCE_AFTER_GAP = 0.5;

  private final int capacity;
  private final long retentionMillis;
  private final Map<Long, Holders> byPrefix;

  PrefixIndex(int capacity, long retentionMillis) {
    this.capacity = capacity;
    this.retentionMillis = retentionMillis;
    this.byPrefix = new LruMap();
  }

  /** Records that the upstream has the prefix cached, or will once it has run the request. */
  void onStored(long prefix, UpstreamState state, long nowMillis) {
    byPrefix.computeIfAbsent(prefix, key -> new Holders()).put(state, nowMillis);
  }

  void onEvicted(long prefix, UpstreamState state, long nowMillis) {
    Holders holders = byPrefix.get(prefix);
    if (holders != null && holders.wasRefreshedBefore(state, nowMillis - MAX_EVENT_LAG_MILLIS)) {
      holders.remove(state);
    }
  }

  /** Removes the upstream from the holders of the prefix after a request found nothing cached. */
  void onMiss(long prefix, UpstreamState state) {
    Holders holders = byPrefix.get(prefix);
    if (holders != null) {
      holders.remove(state);
    }
  }

  /** Returns the holder at the given index, or null. */
  UpstreamState holder(long prefix, int index) {
    Holders holders = byPrefix.get(prefix);
    return holders == null ? null : holders.states[index];
  }

  /** Returns the probability that the upstream has the prefix cached, from 0 to 1. */
  double probability(long prefix, UpstreamState state, long nowMillis) {
    Holders holders = byPrefix.get(prefix);
    return holders == null ? 0 : holders.probability(state, retentionMillis, nowMillis);
  }

  int size() {
    return byPrefix.size();
  }

  private final class LruMap extends LinkedHashMap<Long, Holders> {
    private static final long serialVersionUID = 1L;

    LruMap() {
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
        index = indexToReplace();
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

    boolean wasRefreshedBefore(UpstreamState state, long timeMillis) {
      int index = indexOf(state);
      return index >= 0 && refreshedAtMillis[index] < timeMillis;
    }

    double probability(UpstreamState state, long retentionMillis, long nowMillis) {
      int index = indexOf(state);
      if (index < 0) {
        return 0;
      }
      double relativeAge = (double) (nowMillis - refreshedAtMillis[index]) / retentionMillis;
      double confidence = generations[index] == state.cacheGeneration() ? 1 : CONFIDENCE_AFTER_GAP;
      return confidence * Math.min(1, Math.max(0, 1 - relativeAge));
    }

    private int indexOf(UpstreamState state) {
      for (int i = 0; i < MAX_HOLDERS; i++) {
        if (states[i] == state) {
          return i;
        }
      }
      return -1;
    }

    private int indexToReplace() {
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
