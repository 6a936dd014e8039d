package io.briarward.core.admission;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** What the home of a limit has granted to each node. Not thread-safe. */
final class ShareLedger {
  /** How long the division of contended limits is reused. */
  private static final long LEVEL_MILLIS = 200;

  /** How much more than its demand a node gets while others do not need it. */
  private static final double HEADROOM_SHARE = 0.25;

  /** Headroom of small demands, in requests and in requests per second. */
  private static final double MIN_HEADROOM = 1;

  private final Map<String, Entry> entries = new HashMap<>();
  private Share level = Share.ZERO;
  private Share spare = Share.ZERO;
  private Share leveledQuota = Share.ZERO;
  private long leveledAtMillis = Long.MIN_VALUE / 2;

  /**
   * Answers a report.
   *
   * @param quota what may be granted to all nodes together
   * @param mayGrow whether the node may get more than it holds
   * @return the grant, or empty for a report older than one already answered
   */
  Optional<Share> grant(
      String node, ShareReport report, Share quota, boolean mayGrow, long nowMillis) {
    entries.values().removeIf(entry -> entry.leaseEndsAtMillis <= nowMillis);
    Entry entry = entries.computeIfAbsent(node, id -> new Entry());
    if (report.sequence() <= entry.sequence) {
      return Optional.empty();
    }
    entry.sequence = report.sequence();
    entry.demand = report.demand();
    entry.held = report.held();
    entry.leaseEndsAtMillis = nowMillis + ShareNegotiator.LEASE_MILLIS;
    refreshLevel(quota, nowMillis);
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
    double fair =
        fair(
            entry.demand.requestsPerSecond(), level.requestsPerSecond(), spare.requestsPerSecond());
    return bounded(fair, entry.held.requestsPerSecond(), available, mayGrow);
  }

  /** Grants whole requests, since a node cannot run a part of one. */
  private double concurrent(Entry entry, Share quota, boolean mayGrow) {
    double available = available(entry, quota.concurrent(), Share::concurrent);
    double fair = fair(entry.demand.concurrent(), level.concurrent(), spare.concurrent());
    double atLeastOne = entry.demand.concurrent() >= 1 ? Math.max(1, fair) : fair;
    return Math.floor(bounded(atLeastOne, entry.held.concurrent(), available, mayGrow));
  }

  private static double fair(double demand, double level, double spare) {
    double headroom = demand == 0 ? 0 : Math.max(MIN_HEADROOM, HEADROOM_SHARE * demand);
    return Math.min(demand, level) + Math.min(spare, headroom);
  }

  private static double bounded(double fair, double held, double available, boolean mayGrow) {
    double wanted = mayGrow ? fair : Math.min(fair, held);
    return Math.max(0, Math.min(wanted, available));
  }

  /** Returns what is left when every other node uses the most that it may. */
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

  private void refreshLevel(Share quota, long nowMillis) {
    boolean fresh = nowMillis - leveledAtMillis < LEVEL_MILLIS && quota.equals(leveledQuota);
    if (fresh) {
      return;
    }
    leveledAtMillis = nowMillis;
    leveledQuota = quota;
    double[] rates = demands(Share::requestsPerSecond);
    double[] concurrents = demands(Share::concurrent);
    level =
        new Share(level(rates, quota.requestsPerSecond()), level(concurrents, quota.concurrent()));
    spare =
        new Share(spare(rates, quota.requestsPerSecond()), spare(concurrents, quota.concurrent()));
  }

  private double[] demands(ToDoubleFunction<Share> amount) {
    return entries.values().stream()
        .mapToDouble(entry -> amount.applyAsDouble(entry.demand))
        .toArray();
  }

  /** Returns the max-min fair bound on each demand that makes their sum fit the quota. */
  private static double level(double[] demands, double quota) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double left = quota;
    for (int i = 0; i < sorted.length; i++) {
      double even = left / (sorted.length - i);
      if (sorted[i] > even) {
        return even;
      }
      left -= sorted[i];
    }
    return quota;
  }

  /** Returns each node's part of what nobody asked for, so that demand can grow at once. */
  private static double spare(double[] demands, double quota) {
    double unused = quota - Arrays.stream(demands).sum();
    return demands.length == 0 ? 0 : Math.max(0, unused / demands.length);
  }

  private static final class Entry {
    private long sequence = Long.MIN_VALUE;
    private Share demand = Share.ZERO;
    private Share held = Share.ZERO;
    private Share granted = Share.ZERO;
    private long leaseEndsAtMillis;
  }
}
