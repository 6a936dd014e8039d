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
 * Divides limits among nodes: reports this node's demand, and answers reports as a coordinator.
 *
 * <p>Thread-safe: one lock guards short sections that do no I/O. Times are in milliseconds of a
 * clock that each node reads by itself; the clocks need not agree but must run at the same rate.
 * The lease starts on the node when it reports and on the coordinator when the report arrives, so
 * that it expires on the node first.
 *
 * <p>Example: {@code negotiator.poll(admission.limitUses(nowMillis), nowMillis)} returns the
 * reports to send, and {@code negotiator.share(organisation, nowMillis)} the share that the node
 * may use.
 */
public final class ShareNegotiator {
  /** How long a granted share may be used without a further grant from the coordinator. */
  public static final long LEASE_MILLIS = 30_000;

  /** How long a new coordinator collects reports of held shares before it increases any. */
  public static final long REGISTRATION_MILLIS = 3_000;

  /** The fraction of a limit that is divided equally among nodes and needs no grant. */
  private static final double FLOOR_FRACTION = 0.1;

  @GuardedBy("this")
  private final Map<String, ShareLease> leases = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, ShareAllocator> allocators = new HashMap<>();

  @GuardedBy("this")
  private final Map<String, String> coordinators = new HashMap<>();

  @GuardedBy("this")
  private final Deque<PreviousMembers> previousMembers = new ArrayDeque<>();

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
   * @param firstSequence a number above every sequence number that an earlier process with the same
   *     node id used, such as the start time
   */
  public static ShareNegotiator create(Members members, long firstSequence, long nowMillis) {
    return new ShareNegotiator(members, firstSequence, nowMillis);
  }

  /** Replaces the limits; limits that stay keep their shares. */
  public synchronized void replaceLimits(ImmutableList<Limit> limits) {
    Map<String, ShareLease> kept = new HashMap<>();
    for (Limit limit : limits) {
      ShareLease lease = leases.get(limit.id());
      if (lease == null) {
        lease = new ShareLease(limit);
      } else if (!lease.limit().equals(limit)) {
        lease = lease.withLimit(limit);
      }
      kept.put(limit.id(), lease);
    }
    leases.clear();
    leases.putAll(kept);
  }

  /** Replaces this node's view of the membership. */
  public synchronized void setMembers(Members next, long nowMillis) {
    checkNotNull(next, "next");
    if (next.equals(members)) {
      return;
    }
    previousMembers.addLast(new PreviousMembers(members, nowMillis));
    members = next;
    coordinators.clear();
    allocators.values().forEach(allocator -> allocator.retain(next.listed()));
  }

  /**
   * Returns the reports that are due; reports to this node itself are answered at once.
   *
   * @param uses this node's use of each limit; an absent limit is not used
   */
  public synchronized ImmutableList<OutgoingReport> poll(
      ImmutableMap<String, LimitUse> uses, long nowMillis) {
    ImmutableList.Builder<OutgoingReport> outgoing = ImmutableList.builder();
    for (ShareLease lease : leases.values()) {
      String limitId = lease.limit().id();
      LimitUse use = aboveFloor(uses.getOrDefault(limitId, LimitUse.NONE), lease.limit());
      String coordinator = coordinatorOf(limitId);
      if (lease.isReportDue(coordinator, use, nowMillis)) {
        lastSequence++;
        ShareReport report = lease.report(coordinator, use, lastSequence, nowMillis);
        if (coordinator.equals(members.self())) {
          onReport(coordinator, report, nowMillis).ifPresent(grant -> onGrant(grant, nowMillis));
        } else {
          outgoing.add(new OutgoingReport(coordinator, report));
        }
      }
    }
    return outgoing.build();
  }

  /**
   * Answers a report of a node.
   *
   * @return the grant, or empty if the sender is not listed, this node is not the limit's
   *     coordinator in its own view, or this report or a later one was answered already
   */
  public synchronized Optional<ShareGrant> onReport(
      String sender, ShareReport report, long nowMillis) {
    String limitId = report.limit().id();
    boolean knownSender = members.listed().contains(sender);
    if (!knownSender || !coordinatorOf(limitId).equals(members.self())) {
      return Optional.empty();
    }
    Share quota = quota(report.limit().total());
    boolean mayGrow = hasBeenCoordinatorLongEnough(limitId, nowMillis);
    return allocators
        .computeIfAbsent(limitId, id -> new ShareAllocator())
        .grant(sender, report, quota, mayGrow, nowMillis)
        .map(share -> new ShareGrant(limitId, report.sequence(), share));
  }

  /** Applies a coordinator's grant, and returns whether it replaced or renewed the share. */
  public synchronized boolean onGrant(ShareGrant grant, long nowMillis) {
    ShareLease lease = leases.get(grant.limitId());
    return lease != null && lease.onGrant(grant, nowMillis);
  }

  /** Returns the share that this node may use, or {@link Share#ZERO} for an unknown limit. */
  public synchronized Share share(String limitId, long nowMillis) {
    ShareLease lease = leases.get(limitId);
    if (lease == null) {
      return Share.ZERO;
    }
    return floor(lease.limit().total()).plus(lease.held(nowMillis));
  }

  /** Subtracts the requests that run within the floor, which needs no grant. */
  @GuardedBy("this")
  private LimitUse aboveFloor(LimitUse use, Limit limit) {
    int floor = (int) floor(limit.total()).concurrent();
    return new LimitUse(use.demand(), Math.max(0, use.running() - floor));
  }

  /** Returns the share that a node may use without a grant, in whole concurrent requests. */
  @GuardedBy("this")
  private Share floor(Share total) {
    Share equalPart = total.times(FLOOR_FRACTION / members.listed().size());
    return new Share(equalPart.requestsPerSecond(), Math.floor(equalPart.concurrent()));
  }

  /**
   * Returns the total that this node may grant: the reachable fraction of what the floors leave of
   * the limit.
   *
   * <p>Concurrent requests are rounded to a whole number, so that only the larger side of a
   * partition grants a limit of one.
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

  /** Returns the coordinator of a limit, cached until the membership view changes. */
  @GuardedBy("this")
  private String coordinatorOf(String limitId) {
    return coordinators.computeIfAbsent(limitId, id -> members.coordinatorOf(id));
  }

  /**
   * Returns whether no other node can have been the limit's coordinator within the last {@link
   * #REGISTRATION_MILLIS}.
   */
  @GuardedBy("this")
  private boolean hasBeenCoordinatorLongEnough(String limitId, long nowMillis) {
    while (!previousMembers.isEmpty()
        && nowMillis - previousMembers.peekFirst().replacedAtMillis >= REGISTRATION_MILLIS) {
      previousMembers.removeFirst();
    }
    if (nowMillis - startedAtMillis < REGISTRATION_MILLIS && members.listed().size() > 1) {
      return false;
    }
    for (PreviousMembers previous : previousMembers) {
      if (!previous.members.coordinatorOf(limitId).equals(members.self())) {
        return false;
      }
    }
    return true;
  }

  private record PreviousMembers(Members members, long replacedAtMillis) {}
}
