package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Divides limits among nodes: reports this node's demand, and answers reports as a home.
 *
 * <p>Thread-safe: one lock guards short sections that do no I/O. Times are milliseconds of a clock
 * that every node may keep on its own, but which must run at the same speed. A lease counts from
 * the report on the node and from its arrival on the home, so that the node's always ends first.
 *
 * <p>Example: {@code negotiator.poll(admission.limitUses(nowMillis), nowMillis)} gives the reports
 * to send, and {@code negotiator.share(organisation, nowMillis)} what the node may use.
 */
public final class ShareNegotiator {
  /** How long a granted share may be used without a further answer from the home. */
  public static final long LEASE_MILLIS = 30_000;

  /** How long a new home lets nodes report what they hold before it grants more. */
  public static final long REGISTRATION_MILLIS = 3_000;

  /** The part of a limit that is divided evenly and needs no grant. */
  private static final double FLOOR_SHARE = 0.1;

  @GuardedBy("this")
  private final Map<String, ShareHolding> holdings = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, ShareLedger> ledgers = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, String> homes = new HashMap<>();

  @GuardedBy("this")
  private final Deque<EarlierMembers> earlier = new ArrayDeque<>();

  private final long startedAtMillis;

  @GuardedBy("this")
  private Members members;

  @GuardedBy("this")
  private long lastSequence;

  private ShareNegotiator(Members members, long firstSequence, long nowMillis) {
    this.members = checkNotNull(members, "members");
    this.lastSequence = firstSequence;
    this.startedAtMillis = nowMillis;
  }

  /**
   * Creates a negotiator without limits.
   *
   * @param firstSequence above every sequence that an earlier process with the same node id used,
   *     such as the time of the start
   */
  public static ShareNegotiator create(Members members, long firstSequence, long nowMillis) {
    return new ShareNegotiator(members, firstSequence, nowMillis);
  }

  /** Replaces the limits; shares of those that stay are kept. */
  public synchronized void replaceLimits(ImmutableList<Limit> limits) {
    Map<String, ShareHolding> kept = new HashMap<>();
    for (Limit limit : limits) {
      ShareHolding holding = holdings.get(limit.id());
      if (holding == null) {
        holding = new ShareHolding(limit);
      } else if (!holding.limit().equals(limit)) {
        holding = holding.withLimit(limit);
      }
      kept.put(limit.id(), holding);
    }
    holdings.clear();
    holdings.putAll(kept);
  }

  /** Replaces the view of the nodes. */
  public synchronized void setMembers(Members next, long nowMillis) {
    checkNotNull(next, "next");
    if (next.equals(members)) {
      return;
    }
    earlier.addLast(new EarlierMembers(members, nowMillis));
    members = next;
    homes.clear();
    ledgers.values().forEach(ledger -> ledger.retain(next.listed()));
  }

  /**
   * Returns the reports that are due; those for this node itself are answered at once.
   *
   * @param uses what this node uses of each limit; limits left out are not used
   */
  public synchronized ImmutableList<OutgoingReport> poll(
      ImmutableMap<String, LimitUse> uses, long nowMillis) {
    ImmutableList.Builder<OutgoingReport> outgoing = ImmutableList.builder();
    for (ShareHolding holding : holdings.values()) {
      String limitId = holding.limit().id();
      LimitUse use = aboveFloor(uses.getOrDefault(limitId, LimitUse.NONE), holding.limit());
      String home = homeOf(limitId);
      if (holding.reportDue(home, use, nowMillis)) {
        lastSequence++;
        ShareReport report = holding.report(home, use, lastSequence, nowMillis);
        if (home.equals(members.self())) {
          onReport(home, report, nowMillis).ifPresent(grant -> onGrant(grant, nowMillis));
        } else {
          outgoing.add(new OutgoingReport(home, report));
        }
      }
    }
    return outgoing.build();
  }

  /**
   * Answers a report of another node, unless this node is not the limit's home in its own view or
   * the report is older than one already answered.
   */
  public synchronized Optional<ShareGrant> onReport(
      String sender, ShareReport report, long nowMillis) {
    String limitId = report.limit().id();
    boolean knownSender = members.listed().contains(sender);
    if (!knownSender || !homeOf(limitId).equals(members.self())) {
      return Optional.empty();
    }
    Share quota = quota(report.limit().total());
    boolean mayGrow = wasHomeLongEnough(limitId, nowMillis);
    return ledgers
        .computeIfAbsent(limitId, id -> new ShareLedger())
        .grant(sender, report, quota, mayGrow, nowMillis)
        .map(share -> new ShareGrant(limitId, report.sequence(), share));
  }

  /** Takes a home's answer, and returns whether it changed or prolonged the share. */
  public synchronized boolean onGrant(ShareGrant grant, long nowMillis) {
    ShareHolding holding = holdings.get(grant.limitId());
    return holding != null && holding.onGrant(grant, nowMillis);
  }

  /** Returns what this node may use of a limit; nothing of a limit that it does not know. */
  public synchronized Share share(String limitId, long nowMillis) {
    ShareHolding holding = holdings.get(limitId);
    if (holding == null) {
      return Share.ZERO;
    }
    return floor(holding.limit().total()).plus(holding.held(nowMillis));
  }

  /** Leaves out requests that run within the floor, which is not granted. */
  @GuardedBy("this")
  private LimitUse aboveFloor(LimitUse use, Limit limit) {
    int floor = (int) floor(limit.total()).concurrent();
    return new LimitUse(use.demand(), Math.max(0, use.running() - floor));
  }

  /** Returns what a node may use without a grant; of running requests only whole ones. */
  @GuardedBy("this")
  private Share floor(Share total) {
    Share even = total.times(FLOOR_SHARE / members.listed().size());
    return new Share(even.requestsPerSecond(), Math.floor(even.concurrent()));
  }

  /**
   * Returns what this node may grant in all, which is all but the floors.
   *
   * <p>Of running requests it is a whole number, so that of several sides of a partition only the
   * larger one divides a limit of one.
   */
  @GuardedBy("this")
  private Share quota(Share total) {
    double fraction = members.reachableFraction();
    Share floor = floor(total);
    int nodes = members.listed().size();
    double requestsPerSecond = total.requestsPerSecond() - nodes * floor.requestsPerSecond();
    double concurrent = total.concurrent() - nodes * floor.concurrent();
    return new Share(
        Math.max(0, requestsPerSecond * fraction), Math.max(0, Math.rint(concurrent * fraction)));
  }

  /** Returns the home of a limit, remembered until the view changes. */
  @GuardedBy("this")
  private String homeOf(String limitId) {
    return homes.computeIfAbsent(limitId, id -> members.homeOf(id));
  }

  /** Returns whether no other node can have been the home within the registration time. */
  @GuardedBy("this")
  private boolean wasHomeLongEnough(String limitId, long nowMillis) {
    while (!earlier.isEmpty()
        && nowMillis - earlier.peekFirst().replacedAtMillis >= REGISTRATION_MILLIS) {
      earlier.removeFirst();
    }
    if (nowMillis - startedAtMillis < REGISTRATION_MILLIS && members.listed().size() > 1) {
      return false;
    }
    for (EarlierMembers view : earlier) {
      if (!view.members.homeOf(limitId).equals(members.self())) {
        return false;
      }
    }
    return true;
  }

  private record EarlierMembers(Members members, long replacedAtMillis) {}
}
