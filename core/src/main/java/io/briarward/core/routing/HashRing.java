package io.briarward.core.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** A consistent-hash ring of upstreams, equal on all nodes that know the same upstreams. */
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

  /** Returns the position of the first point at or after the key. */
  int position(long key) {
    int index = Arrays.binarySearch(points, key);
    int insertion = index >= 0 ? index : -index - 1;
    return insertion == points.length ? 0 : insertion;
  }

  /** Returns the owner of a point, wrapping around. */
  UpstreamState owner(int position) {
    return owners[position % owners.length];
  }
}
