package io.briarward.core.admission;

/** A node's share of one limit. Not thread-safe. */
final class ShareHolding {
  /** Reports of the same demand are repeated this often, so that the lease never ends. */
  private static final long REFRESH_MILLIS = 5_000;

  /** A node without an answer, or with much less or more than it needs, reports this often. */
  private static final long MISFIT_REFRESH_MILLIS = 1_000;

  /** The shortest time between two reports. */
  private static final long MIN_INTERVAL_MILLIS = 250;

  /** Demand above the share is reported at once when it has grown by this part. */
  private static final double GROWTH_SHARE = 0.2;

  /** Part of the share is given back when demand has fallen by this part. */
  private static final double FALL_SHARE = 0.5;

  private final Limit limit;
  private Share held = Share.ZERO;
  private Share reportedHeld = Share.ZERO;
  private Share reportedDemand = Share.ZERO;
  private String reportedHome = "";
  private boolean unanswered;
  private long sequence;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private long leaseEndsAtMillis = Long.MIN_VALUE / 2;

  ShareHolding(Limit limit) {
    this.limit = limit;
  }

  Limit limit() {
    return limit;
  }

  /** Returns a holding of the same share under a limit that has changed. */
  ShareHolding withLimit(Limit changed) {
    ShareHolding copy = new ShareHolding(changed);
    copy.held = held;
    copy.sequence = sequence;
    copy.leaseEndsAtMillis = leaseEndsAtMillis;
    return copy;
  }

  /** Returns the granted share while its lease lasts. */
  Share held(long nowMillis) {
    return nowMillis < leaseEndsAtMillis ? held : Share.ZERO;
  }

  boolean reportDue(String home, LimitUse use, long nowMillis) {
    long sinceMillis = nowMillis - reportedAtMillis;
    if (sinceMillis < MIN_INTERVAL_MILLIS) {
      return false;
    }
    Share demand = use.demand();
    boolean active = !demand.equals(Share.ZERO) || !held(nowMillis).equals(Share.ZERO);
    boolean unmet = !covers(held(nowMillis), demand);
    boolean grown = unmet && !covers(reportedDemand.times(1 + GROWTH_SHARE), demand);
    boolean fallen = !covers(demand, reportedDemand.times(1 - FALL_SHARE));
    long refreshMillis = unanswered || unmet || fallen ? MISFIT_REFRESH_MILLIS : REFRESH_MILLIS;
    boolean news = grown || sinceMillis >= refreshMillis || !home.equals(reportedHome);
    return releaseUnconfirmed(use, nowMillis) || (active && news);
  }

  /** Returns whether the home must still learn that a smaller share is used from now on. */
  private boolean releaseUnconfirmed(LimitUse use, long nowMillis) {
    return !covers(used(use, nowMillis), reportedHeld);
  }

  private static boolean covers(Share share, Share needed) {
    return share.requestsPerSecond() >= needed.requestsPerSecond()
        && share.concurrent() >= needed.concurrent();
  }

  /** Returns the share, or what runs where that is more. */
  private Share used(LimitUse use, long nowMillis) {
    Share share = held(nowMillis);
    return new Share(share.requestsPerSecond(), Math.max(share.concurrent(), use.running()));
  }

  ShareReport report(String home, LimitUse use, long sequence, long nowMillis) {
    this.sequence = sequence;
    reportedHome = home;
    reportedDemand = use.demand();
    reportedHeld = used(use, nowMillis);
    reportedAtMillis = nowMillis;
    unanswered = true;
    return new ShareReport(limit, sequence, reportedDemand, reportedHeld);
  }

  /** Takes a grant that answers the last report; its lease counts from the report. */
  boolean onGrant(ShareGrant grant, long nowMillis) {
    boolean inTime = nowMillis < reportedAtMillis + ShareNegotiator.LEASE_MILLIS;
    if (grant.sequence() != sequence || !inTime) {
      return false;
    }
    held = grant.share();
    unanswered = false;
    leaseEndsAtMillis = reportedAtMillis + ShareNegotiator.LEASE_MILLIS;
    return true;
  }
}
