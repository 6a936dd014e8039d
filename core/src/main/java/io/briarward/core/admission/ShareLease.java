package io.briarward.core.admission;

/** A node's leased share of one limit, and when to report to the coordinator. Not thread-safe. */
final class ShareLease {
  /** The interval between reports of unchanged demand, which renew the lease before it expires. */
  private static final long REFRESH_MILLIS = 5_000;

  /**
   * The interval between reports while the last one is unanswered, demand exceeds the share, or
   * demand has fallen by {@link #FALL_FRACTION}.
   */
  private static final long MISMATCH_REFRESH_MILLIS = 1_000;

  /** The minimum interval between reports. */
  private static final long MIN_INTERVAL_MILLIS = 250;

  /** Demand above the share is reported at once if it grew by more than this fraction. */
  private static final double GROWTH_FRACTION = 0.2;

  /**
   * Demand that fell by more than this fraction is reported early, so that the node returns part of
   * its share.
   */
  private static final double FALL_FRACTION = 0.5;

  private final Limit limit;
  private Share held = Share.ZERO;
  private Share reportedHeld = Share.ZERO;
  private Share reportedDemand = Share.ZERO;
  private String reportedCoordinator = "";
  private boolean unanswered;
  private long sequence;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private long leaseExpiresAtMillis = Long.MIN_VALUE / 2;

  ShareLease(Limit limit) {
    this.limit = limit;
  }

  Limit limit() {
    return limit;
  }

  /** Returns a lease of the same share under a changed limit. */
  ShareLease withLimit(Limit changed) {
    ShareLease copy = new ShareLease(changed);
    copy.held = held;
    copy.sequence = sequence;
    copy.leaseExpiresAtMillis = leaseExpiresAtMillis;
    return copy;
  }

  /** Returns the granted share, or {@link Share#ZERO} once the lease has expired. */
  Share held(long nowMillis) {
    return nowMillis < leaseExpiresAtMillis ? held : Share.ZERO;
  }

  boolean isReportDue(String coordinator, LimitUse use, long nowMillis) {
    long sinceMillis = nowMillis - reportedAtMillis;
    if (sinceMillis < MIN_INTERVAL_MILLIS) {
      return false;
    }
    Share demand = use.demand();
    boolean active = !demand.equals(Share.ZERO) || !held(nowMillis).equals(Share.ZERO);
    boolean unmet = !covers(held(nowMillis), demand);
    boolean grown = unmet && !covers(reportedDemand.times(1 + GROWTH_FRACTION), demand);
    boolean fallen = !covers(demand, reportedDemand.times(1 - FALL_FRACTION));
    long refreshMillis = unanswered || unmet || fallen ? MISMATCH_REFRESH_MILLIS : REFRESH_MILLIS;
    boolean needsReport =
        grown || sinceMillis >= refreshMillis || !coordinator.equals(reportedCoordinator);
    return hasUnreportedRelease(use, nowMillis) || (active && needsReport);
  }

  /** Returns whether the node uses less than it last reported to the coordinator. */
  private boolean hasUnreportedRelease(LimitUse use, long nowMillis) {
    return !covers(used(use, nowMillis), reportedHeld);
  }

  private static boolean covers(Share share, Share needed) {
    return share.requestsPerSecond() >= needed.requestsPerSecond()
        && share.concurrent() >= needed.concurrent();
  }

  /** Returns the held share, with its concurrency raised to the number of running requests. */
  private Share used(LimitUse use, long nowMillis) {
    Share share = held(nowMillis);
    return new Share(share.requestsPerSecond(), Math.max(share.concurrent(), use.running()));
  }

  ShareReport report(String coordinator, LimitUse use, long sequence, long nowMillis) {
    this.sequence = sequence;
    reportedCoordinator = coordinator;
    reportedDemand = use.demand();
    reportedHeld = used(use, nowMillis);
    reportedAtMillis = nowMillis;
    unanswered = true;
    return new ShareReport(limit, sequence, reportedDemand, reportedHeld);
  }

  /**
   * Applies a grant that answers the last report within the lease time, and returns whether it was
   * applied; the lease starts at the time of the report.
   */
  boolean onGrant(ShareGrant grant, long nowMillis) {
    boolean beforeExpiry = nowMillis < reportedAtMillis + ShareNegotiator.LEASE_MILLIS;
    if (grant.sequence() != sequence || !beforeExpiry) {
      return false;
    }
    held = grant.share();
    unanswered = false;
    leaseExpiresAtMillis = reportedAtMillis + ShareNegotiator.LEASE_MILLIS;
    return true;
  }
}
