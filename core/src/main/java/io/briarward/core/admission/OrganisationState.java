package io.briarward.core.admission;

/** An organisation's share of its limits, and its use of them, on one node. Not thread-safe. */
final class OrganisationState {
  /** The time constant of the exponentially decayed count of arrivals. */
  private static final double ARRIVAL_DECAY_MILLIS = 2_000;

  /** The time allowed for this node's share of the limits to adapt to new demand. */
  private static final long SHARE_SETTLING_MILLIS = 1_000;

  private final String id;
  private final TokenBucket bucket;
  private double weight;
  private Share share;
  private int running;
  private int waiting;
  private double decayedArrivals;
  private long decayedAtMillis;
  private long activeSinceMillis;

  OrganisationState(String id, double weight, Share share, long nowMillis) {
    this.id = id;
    this.weight = weight;
    this.share = share;
    this.bucket = new TokenBucket(share.requestsPerSecond(), nowMillis);
    this.decayedAtMillis = nowMillis;
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

  /** Returns whether the share allows one more request to start. */
  boolean canStart(long nowMillis) {
    return running + 1 <= share.concurrent() && bucket.hasToken(nowMillis);
  }

  /** Returns how long the rate limit alone delays a request behind {@code ahead} others. */
  long rateWaitMillis(int ahead, long nowMillis) {
    return bucket.millisUntil(ahead + 1, nowMillis);
  }

  /** Returns whether demand began so recently that the share may not have adapted to it yet. */
  boolean isShareSettling(long nowMillis) {
    return nowMillis - activeSinceMillis < SHARE_SETTLING_MILLIS;
  }

  void onArrival(long nowMillis) {
    if (isIdle(nowMillis)) {
      activeSinceMillis = nowMillis;
    }
    decayedArrivals += 1;
  }

  void onStarted(long nowMillis) {
    bucket.take(nowMillis);
    running++;
  }

  void onEnded() {
    running--;
  }

  void addWaiting(int change) {
    waiting += change;
  }

  /** Returns the organisation's use of its limits on this node. */
  LimitUse limitUse(long nowMillis) {
    decayArrivals(nowMillis);
    Share demand = new Share(decayedArrivals * 1_000 / ARRIVAL_DECAY_MILLIS, running + waiting);
    return new LimitUse(demand, running);
  }

  boolean isIdle(long nowMillis) {
    decayArrivals(nowMillis);
    return running == 0 && waiting == 0 && decayedArrivals < 0.01;
  }

  private void decayArrivals(long nowMillis) {
    if (nowMillis > decayedAtMillis) {
      decayedArrivals *= Math.exp(-(nowMillis - decayedAtMillis) / ARRIVAL_DECAY_MILLIS);
      decayedAtMillis = nowMillis;
    }
  }
}
