package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/**
 * Checks the bound on an upstream's requests while nodes publish changing demands with delays, and
 * some cannot read those of others. Every node sends whenever it may.
 */
class LimitSharesProperties {
  private static final long STEP_MILLIS = 50;
  private static final long DURATION_MILLIS = 40_000;
  private static final long PUBLISH_INTERVAL_MILLIS = 1_000;
  private static final long MAX_DELAY_MILLIS = 600;
  private static final long UPDATE_INTERVAL_MILLIS = 250;

  /** The time after which a node notices that it cannot read the demands of others. */
  private static final long STALE_NOTICE_MILLIS = 2_000;

  private static final long STABLE_MILLIS = 3_000;
  private static final long WINDOW_MILLIS = 4_000;

  private final UpstreamEntry upstream =
      new UpstreamEntry(
          "u", "orders", "nadi", "10.0.0.1", 80, 1, 4, false, false, "1", ImmutableMap.of());

  private record Published(long visibleAtMillis, String node, NodeDemand demand) {}

  private final class Node {
    final String name;
    final LimitShares shares;
    final RequestLimits limits;
    final Map<String, NodeDemand> view = new HashMap<>();
    final Deque<Published> incoming = new ArrayDeque<>();
    final long publishOffsetMillis;
    long staleFromMillis = Long.MAX_VALUE;
    long staleUntilMillis = Long.MAX_VALUE;
    double neededPerSecond;

    Node(int index, Random random) {
      name = "n" + index;
      shares = LimitShares.create(name);
      limits = new RequestLimits(shares);
      publishOffsetMillis = random.nextInt((int) PUBLISH_INTERVAL_MILLIS);
      if (random.nextInt(3) == 0) {
        staleFromMillis = random.nextInt((int) DURATION_MILLIS);
        staleUntilMillis = staleFromMillis + random.nextInt(10_000);
      }
    }

    boolean isCutOff(long nowMillis) {
      return nowMillis >= staleFromMillis && nowMillis < staleUntilMillis;
    }

    void update(long nowMillis) {
      if (!isCutOff(nowMillis)) {
        while (!incoming.isEmpty() && incoming.peek().visibleAtMillis() <= nowMillis) {
          Published published = incoming.remove();
          view.put(published.node(), published.demand());
        }
      }
      boolean stale = isCutOff(nowMillis) && nowMillis >= staleFromMillis + STALE_NOTICE_MILLIS;
      shares.update(ImmutableMap.copyOf(view), !stale);
    }
  }

  @Property(tries = 150, seed = "2701")
  void requestsOfAllNodesStayWithinOneAndHalfTimesTheLimit(
      @ForAll @IntRange(min = 1, max = 24) int nodeCount,
      @ForAll @DoubleRange(min = 0, max = 20) double limitPerSecond,
      @ForAll long seed) {
    Random random = new Random(seed);
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node(i, random));
    }
    List<Long> sentMillis = new ArrayList<>();
    for (long nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis += STEP_MILLIS) {
      for (Node node : nodes) {
        step(node, nodes, nowMillis, limitPerSecond, random, sentMillis);
      }
    }
    int from = 0;
    for (int to = 0; to < sentMillis.size(); to++) {
      while (sentMillis.get(from) <= sentMillis.get(to) - WINDOW_MILLIS
          || sentMillis.get(from) < STABLE_MILLIS) {
        if (from == to) {
          break;
        }
        from++;
      }
      assertWithMessage("requests in the window that ends at %s ms", sentMillis.get(to))
          .that(to - from + 1.0)
          .isAtMost(1.5 * WINDOW_MILLIS / 1_000 * limitPerSecond + 5);
    }
  }

  private void step(
      Node node,
      List<Node> nodes,
      long nowMillis,
      double limitPerSecond,
      Random random,
      List<Long> sentMillis) {
    if (random.nextInt(100) == 0) {
      node.neededPerSecond = random.nextBoolean() ? 0 : random.nextInt(100);
    }
    if ((nowMillis + node.publishOffsetMillis) % PUBLISH_INTERVAL_MILLIS < STEP_MILLIS
        && !node.isCutOff(nowMillis)) {
      NodeDemand demand =
          new NodeDemand(
              ImmutableMap.of(upstream.instanceKey(), node.neededPerSecond), ImmutableMap.of());
      for (Node other : nodes) {
        other.incoming.add(
            new Published(nowMillis + random.nextInt((int) MAX_DELAY_MILLIS), node.name, demand));
      }
    }
    if (nowMillis % UPDATE_INTERVAL_MILLIS == 0) {
      node.update(nowMillis);
    }
    if (nowMillis % 1_000 == 0) {
      node.limits.onNotice(upstream, OptionalDouble.of(limitPerSecond), nowMillis);
    }
    while (node.limits.permits(upstream, nowMillis)) {
      node.limits.onSent(upstream);
      sentMillis.add(nowMillis);
    }
  }
}
