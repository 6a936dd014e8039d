package io.briarward.core.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** A consistent-hash ring of upstreams; nodes with the same set of upstreams build equal rings. */
final class HashRing {
  private static final int POINTS_PER_UPSTREAM = 16;

  private final long[] points;
  private final UpstreamState[] owners;

  private HashRing(long[] points, UpstreamState[] owners) {
    this.points = points;
    this.owners = owners;
  }

  static HashRing of(List<UpstreamState> states) {
    record Point(long hash, UpstreamState owner) {}

    Point[] sorted = new Point[states.size() * POINTS_PER_UPSTREAM];
    int next = 0;
    for (UpstreamState state : states) {
      for (int i = 0; i < POINTS_PER_UPSTREAM; i++) {
        sorted[next++] = new Point(hash(state.upstream().id() + "#" + i), state);
      }
    }
    Arrays.sort(sorted, Comparator.comparingLong(Point::hash));
    long[] points = new long[sorted.length];
    UpstreamState[] owners = new UpstreamState[sorted.length];
    for (int i = 0; i < sorted.length; i++) {
      points[i] = sorted[i].hash();
      owners[i] = sorted[i].owner();
    }
    return new HashRing(points, owners);
  }

  static long hash(String key) {
    return Hashing.farmHashFingerprint64().hashString(key, StandardCharsets.UTF_8).asLong();
  }

  int size() {
    return points.length;
  }

  /** Returns the index of the first point at or after the key, wrapping around. */
  int successorIndex(long key) {
    int found = Arrays.binarySearch(points, key);
    int insertion = found >= 0 ? found : -found - 1;
    return insertion == points.length ? 0 : insertion;
  }

  /** Returns the upstream that owns the point at an index, wrapping around. */
  UpstreamState ownerAt(int index) {
    return owners[index % owners.length];
  }
}
