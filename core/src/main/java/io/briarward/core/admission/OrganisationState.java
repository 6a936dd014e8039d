package io.briarward.core.admission;

/** An organisation's limits and use on one node. Not thread-safe. */
final class OrganisationState {
  private static final double DEMAND_TIME_MILLIS = 2_000;

  /** How long new demand may take to bring a share of the limits to this node. */
  private static final long SETTLING_MILLIS = 1_000;

  private final String id;
  private final TokenBucket bucket;
  private double weight;
  private Share share;
  private int running;
  private int waiting;
  private double arrivals;
  private long arrivalsAtMillis;
  private long activeSinceMillis;

  OrganisationState(String id, double weight, Share share, long nowMillis) {
    this.id = id;
    this.weight = weight;
    this.share = share;
    this.bucket = new TokenBucket(share.requestsPerSecond(), nowMillis);
    this.arrivalsAtMillis = nowMillis;
  }

  String id() {
    return id;
  }

  double weight() {
    return weight;
  }

  void setWeight(double weight) {
    this.weight = weight;
  }

  void setShare(Share share, long nowMillis) {
    this.share = share;
    bucket.setRate(share.requestsPerSecond(), nowMillis);
  }

  /** Returns whether the limits allow one more request to start. */
  boolean mayStart(long nowMillis) {
    return running + 1 <= share.concurrent() && bucket.hasToken(nowMillis);
  }

  /** Returns how long the rate alone makes a request wait behind others, in milliseconds. */
  long rateWaitMillis(int ahead, long nowMillis) {
    return bucket.millisUntil(ahead + 1, nowMillis);
  }

  /** Returns whether the share may not have followed the demand yet. */
  boolean settling(long nowMillis) {
    return nowMillis - activeSinceMillis < SETTLING_MILLIS;
  }

  void onArrival(long nowMillis) {
    if (idle(nowMillis)) {
      activeSinceMillis = nowMillis;
    }
    arrivals += 1;
  }

  void onStarted(long nowMillis) {
    bucket.take(nowMillis);
    running++;
  }

  void onEnded() {
    running--;
  }

  void onWaiting(int change) {
    waiting += change;
  }

  /** Returns what the organisation uses of its limits on this node. */
  LimitUse use(long nowMillis) {
    decayArrivals(nowMillis);
    Share demand = new Share(arrivals * 1_000 / DEMAND_TIME_MILLIS, running + waiting);
    return new LimitUse(demand, running);
  }

  boolean idle(long nowMillis) {
    decayArrivals(nowMillis);
    return running == 0 && waiting == 0 && arrivals < 0.01;
  }

  private void decayArrivals(long nowMillis) {
    if (nowMillis > arrivalsAtMillis) {
      arrivals *= Math.exp(-(nowMillis - arrivalsAtMillis) / DEMAND_TIME_MILLIS);
      arrivalsAtMillis = nowMillis;
    }
  }
}
