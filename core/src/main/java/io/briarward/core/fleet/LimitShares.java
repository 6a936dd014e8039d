package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Divides the limits of upstreams among the nodes.
 *
 * <p>Each node computes its own share from the demands that all nodes publish. Nodes that see the
 * same demands compute shares that add up to one. A node that cannot read the demands takes at most
 * half of an even share, so that all nodes together stay below one and a half times a limit,
 * however many of them cannot.
 *
 * <p>A share is proportional to the requests per second that a node needs, plus a little, so that a
 * node without need can serve the first requests. The number of nodes that send to an upstream is
 * bounded by its limit, since each may send one request at any moment; they are chosen by weighted
 * rendezvous hashing. Not thread-safe.
 */
public final class LimitShares {
  /** The number of nodes that may send to an upstream with the smallest limit. */
  private static final int MIN_SENDERS = 2;

  /** The part of an even share that a node takes whose view is not current. */
  private static final double STALE_FACTOR = 0.5;

  /** What is added to each node's need, in requests per second. */
  private static final double BASE_NEED_PER_SECOND = 0.1;

  private static final HashFunction HASH = Hashing.farmHashFingerprint64();

  private final String self;
  private ImmutableMap<String, NodeDemand> members;
  private boolean current = true;
  private final Map<String, Share> shares = new HashMap<>();
  private final Map<String, Double> publishedLimits = new HashMap<>();

  private SenderView senders;
  private ImmutableSet<String> rankedNames = ImmutableSet.of();
  private final Map<String, Integer> ranks = new HashMap<>(); // By instance key.

  private record Share(double limitPerSecond, double value) {}

  private record Member(String name, double weight, double score) {}

  private LimitShares(String self) {
    this.self = checkNotNull(self, "self");
    this.members = ImmutableMap.of(self, NodeDemand.NONE);
    this.senders = SenderView.create(self);
  }

  /** Creates the shares of a node that knows of no other node. */
  public static LimitShares create(String self) {
    return new LimitShares(self);
  }

  /**
   * Replaces the known demands.
   *
   * @param demands the published demand of each node, by its name
   * @param isCurrent whether the demands are those that the other nodes see
   */
  public void update(ImmutableMap<String, NodeDemand> demands, boolean isCurrent) {
    ImmutableMap<String, NodeDemand> updated =
        demands.containsKey(self)
            ? demands
            : ImmutableMap.<String, NodeDemand>builder()
                .putAll(demands)
                .put(self, NodeDemand.NONE)
                .buildOrThrow();
    if (!updated.equals(members) || current != isCurrent) {
      members = updated;
      current = isCurrent;
      shares.clear();
      publishedLimits.clear();
      members.forEach(this::addPublishedLimits);
    }
  }

  private void addPublishedLimits(String node, NodeDemand demand) {
    if (!node.equals(self)) {
      demand
          .limitsByInstance()
          .forEach((instance, limit) -> publishedLimits.merge(instance, limit, Math::min));
    }
  }

  /**
   * Returns this node's share of an upstream's limit, from 0 to 1.
   *
   * @param limitPerSecond the limit, in requests per second of all nodes
   */
  double share(UpstreamEntry upstream, double limitPerSecond) {
    checkArgument(limitPerSecond >= 0, "limitPerSecond is %s, expected >= 0", limitPerSecond);
    String key = upstream.instanceKey();
    Share known = shares.get(key);
    if (known == null || known.limitPerSecond() != limitPerSecond) {
      known = new Share(limitPerSecond, compute(key, limitPerSecond));
      shares.put(key, known);
    }
    return known.value();
  }

  /** Returns the lowest limit of an upstream that other nodes published, empty if there is none. */
  OptionalDouble publishedLimit(UpstreamEntry upstream) {
    Double limit = publishedLimits.isEmpty() ? null : publishedLimits.get(upstream.instanceKey());
    return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit);
  }

  private double compute(String instanceKey, double limitPerSecond) {
    int maxSenders = (int) Math.min(members.size(), MIN_SENDERS + limitPerSecond);
    ImmutableList<Member> senders =
        members.entrySet().stream()
            .map(member -> member(instanceKey, member))
            .sorted(Comparator.comparingDouble(Member::score).thenComparing(Member::name))
            .limit(maxSenders)
            .collect(toImmutableList());
    double totalWeight = senders.stream().mapToDouble(Member::weight).sum();
    double share =
        senders.stream()
            .filter(member -> member.name().equals(self))
            .mapToDouble(member -> member.weight() / totalWeight)
            .sum();
    return current ? share : Math.min(share, STALE_FACTOR / members.size());
  }

  /** Sets the nodes among which the rates of cold upstreams are divided. */
  public void setSenders(SenderView view) {
    senders = checkNotNull(view, "view");
  }

  /**
   * Returns this node's share of the rate of a cold upstream, from 0 to 1.
   *
   * <p>The senders are chosen by the names of the nodes alone, and each has the same share. Nodes
   * with rows of different age would choose different senders by the demands of {@link #share},
   * which change often.
   *
   * @param maxSenders the maximum number of nodes that send
   */
  double evenShare(UpstreamEntry upstream, int maxSenders, long nowMillis) {
    ImmutableSet<String> names = senders.names();
    if (!names.equals(rankedNames)) {
      rankedNames = names;
      ranks.clear();
    }
    int rank = ranks.computeIfAbsent(upstream.instanceKey(), key -> rank(key, names));
    return rank < maxSenders ? senders.part(nowMillis) / Math.min(maxSenders, names.size()) : 0;
  }

  /** Returns the number of nodes that are chosen before this one. */
  private int rank(String instanceKey, ImmutableSet<String> names) {
    long own = senderHash(instanceKey, self);
    return (int)
        names.stream()
            .filter(name -> !name.equals(self))
            .filter(
                name -> {
                  int order = Long.compareUnsigned(senderHash(instanceKey, name), own);
                  return order < 0 || (order == 0 && name.compareTo(self) < 0);
                })
            .count();
  }

  private static long senderHash(String instanceKey, String name) {
    return HASH.hashString(instanceKey + '\n' + name, StandardCharsets.UTF_8).asLong();
  }

  private static Member member(String instanceKey, Map.Entry<String, NodeDemand> member) {
    double weight = BASE_NEED_PER_SECOND + member.getValue().neededPerSecond(instanceKey);
    long hash = senderHash(instanceKey, member.getKey());
    double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
    return new Member(member.getKey(), weight, -Math.log(uniform) / weight);
  }
}
