package io.briarward.core.admission;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Divides one limit among nodes, on the limit's coordinator. Not thread-safe. */
final class ShareAllocator {
  /** How long a computed max-min fair division is reused. */
  private static final long FAIR_DIVISION_REUSE_MILLIS = 200;

  /** The fraction of its demand that a node is granted in addition while quota is unused. */
  private static final double HEADROOM_FRACTION = 0.25;

  /** The minimum headroom, in requests per second and in concurrent requests. */
  private static final double MIN_HEADROOM = 1;

  private final Map<String, Entry> entries = new HashMap<>();
  private Share fairCap = Share.ZERO;
  private Share unusedPerNode = Share.ZERO;
  private Share dividedQuota = Share.ZERO;
  private long dividedAtMillis = Long.MIN_VALUE / 2;

  /**
   * Answers a report of a node.
   *
   * @param quota the amount that may be granted to all nodes together
   * @param mayGrow whether the node may be granted more than it holds
   * @return the granted share, or empty if this report or a later one was answered already
   */
  Optional<Share> grant(
      String node, ShareReport report, Share quota, boolean mayGrow, long nowMillis) {
    entries.values().removeIf(entry -> entry.leaseExpiresAtMillis <= nowMillis);
    Entry entry = entries.computeIfAbsent(node, id -> new Entry());
    if (report.sequence() <= entry.sequence) {
      return Optional.empty();
    }
    entry.sequence = report.sequence();
    entry.demand = report.demand();
    entry.held = report.held();
    entry.leaseExpiresAtMillis = nowMillis + ShareNegotiator.LEASE_MILLIS;
    refreshFairDivision(quota, nowMillis);
    entry.granted = new Share(rate(entry, quota, mayGrow), concurrent(entry, quota, mayGrow));
    return Optional.of(entry.granted);
  }

  void retain(ImmutableSet<String> nodes) {
    entries.keySet().retainAll(nodes);
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  private double rate(Entry entry, Share quota, boolean mayGrow) {
    double available = available(entry, quota.requestsPerSecond(), Share::requestsPerSecond);
    double fairShare =
        fairShare(
            entry.demand.requestsPerSecond(),
            fairCap.requestsPerSecond(),
            unusedPerNode.requestsPerSecond());
    return bounded(fairShare, entry.held.requestsPerSecond(), available, mayGrow);
  }

  /** Returns a whole number, since a node cannot run a part of a request. */
  private double concurrent(Entry entry, Share quota, boolean mayGrow) {
    double available = available(entry, quota.concurrent(), Share::concurrent);
    double fairShare =
        fairShare(entry.demand.concurrent(), fairCap.concurrent(), unusedPerNode.concurrent());
    double atLeastOne = entry.demand.concurrent() >= 1 ? Math.max(1, fairShare) : fairShare;
    return Math.floor(bounded(atLeastOne, entry.held.concurrent(), available, mayGrow));
  }

  private static double fairShare(double demand, double fairCap, double unusedPerNode) {
    double headroom = demand == 0 ? 0 : Math.max(MIN_HEADROOM, HEADROOM_FRACTION * demand);
    return Math.min(demand, fairCap) + Math.min(unusedPerNode, headroom);
  }

  private static double bounded(double fairShare, double held, double available, boolean mayGrow) {
    double wanted = mayGrow ? fairShare : Math.min(fairShare, held);
    return Math.max(0, Math.min(wanted, available));
  }

  /** Returns the quota left if every other node uses the larger of its held and granted share. */
  private double available(Entry own, double quota, ToDoubleFunction<Share> amount) {
    double others = 0;
    for (Entry entry : entries.values()) {
      if (entry != own) {
        double held = amount.applyAsDouble(entry.held);
        others += Math.max(held, amount.applyAsDouble(entry.granted));
      }
    }
    return quota - others;
  }

  private void refreshFairDivision(Share quota, long nowMillis) {
    boolean canReuse =
        nowMillis - dividedAtMillis < FAIR_DIVISION_REUSE_MILLIS && quota.equals(dividedQuota);
    if (canReuse) {
      return;
    }
    dividedAtMillis = nowMillis;
    dividedQuota = quota;
    double[] rates = demands(Share::requestsPerSecond);
    double[] concurrents = demands(Share::concurrent);
    fairCap =
        new Share(
            fairCap(rates, quota.requestsPerSecond()), fairCap(concurrents, quota.concurrent()));
    unusedPerNode =
        new Share(
            unusedPerNode(rates, quota.requestsPerSecond()),
            unusedPerNode(concurrents, quota.concurrent()));
  }

  private double[] demands(ToDoubleFunction<Share> amount) {
    return entries.values().stream()
        .mapToDouble(entry -> amount.applyAsDouble(entry.demand))
        .toArray();
  }

  /** Returns the max-min fair cap: demands reduced to it add up to at most the quota. */
  private static double fairCap(double[] demands, double quota) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double left = quota;
    for (int i = 0; i < sorted.length; i++) {
      double equalPart = left / (sorted.length - i);
      if (sorted[i] > equalPart) {
        return equalPart;
      }
      left -= sorted[i];
    }
    return quota;
  }

  /** Returns each node's equal part of the unused quota, so that demand can grow at once. */
  private static double unusedPerNode(double[] demands, double quota) {
    double unused = quota - Arrays.stream(demands).sum();
    return demands.length == 0 ? 0 : Math.max(0, unused / demands.length);
  }

  private static final class Entry {
    private long sequence = Long.MIN_VALUE;
    private Share demand = Share.ZERO;
    private Share held = Share.ZERO;
    private Share granted = Share.ZERO;
    private long leaseExpiresAtMillis;
  }
}
