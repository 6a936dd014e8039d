package io.briarward.core.admission;

/** A node's share of one limit. Not thread-safe. */
final class ShareHolding {
  /** Reports of the same demand are repeated this often, so that the lease never ends. */
  static final long REFRESH_MILLIS = 10_000;

  /** A node that needs more reports at most this often. */
  static final long MIN_INTERVAL_MILLIS = 250;

  /** Demand that changes by less is not reported before the refresh. */
  private static final double CHANGE_SHARE = 0.2;

  private final Limit limit;
  private Share held = Share.ZERO;
  private Share reportedDemand = Share.ZERO;
  private String reportedHome = "";
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

  boolean reportDue(String home, Share demand, long nowMillis) {
    long sinceMillis = nowMillis - reportedAtMillis;
    boolean active = !demand.equals(Share.ZERO) || !held(nowMillis).equals(Share.ZERO);
    if (!active || sinceMillis < MIN_INTERVAL_MILLIS) {
      return false;
    }
    boolean changed =
        differs(demand.requestsPerSecond(), reportedDemand.requestsPerSecond())
            || differs(demand.concurrent(), reportedDemand.concurrent());
    return changed || sinceMillis >= REFRESH_MILLIS || !home.equals(reportedHome);
  }

  ShareReport report(String home, Share demand, long sequence, long nowMillis) {
    this.sequence = sequence;
    reportedHome = home;
    reportedDemand = demand;
    reportedAtMillis = nowMillis;
    return new ShareReport(limit, sequence, demand, held(nowMillis));
  }

  /** Takes a grant that answers the last report; its lease counts from the report. */
  boolean onGrant(ShareGrant grant, long nowMillis) {
    boolean inTime = nowMillis < reportedAtMillis + ShareNegotiator.LEASE_MILLIS;
    if (grant.sequence() != sequence || !inTime) {
      return false;
    }
    held = grant.share();
    leaseEndsAtMillis = reportedAtMillis + ShareNegotiator.LEASE_MILLIS;
    return true;
  }

  private static boolean differs(double a, double b) {
    return Math.abs(a - b) > CHANGE_SHARE * Math.max(a, b);
  }
}
