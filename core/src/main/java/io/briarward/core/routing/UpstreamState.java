package io.briarward.core.routing;

import io.briarward.core.configuration.Upstream;

/** The load, health and weight version of one upstream as tracked by this node. Not thread-safe. */
final class UpstreamState {
  private final Upstream upstream;
  private final UpstreamHealth health = new UpstreamHealth();
  private final InFlightHistory history = new InFlightHistory();
  private boolean leaving;
  private long weightVersion;
  private int slots;
  private int ownInFlight;
  private double ownOutstanding;
  private double othersOutstanding;
  private long reportedAtMillis;
  private long lastEventSequence;
  private int cacheGeneration;

  /** The partition that contains this upstream while it accepts new work, otherwise null. */
  private Partition partition;

  private int partitionIndex;

  UpstreamState(Upstream upstream) {
    this.upstream = upstream;
    this.slots = upstream.maxConcurrent();
  }

  Upstream upstream() {
    return upstream;
  }

  UpstreamHealth health() {
    return health;
  }

  boolean leaving() {
    return leaving;
  }

  void setLeaving(boolean value) {
    leaving = value;
  }

  /** Returns whether new work may be sent to this upstream. */
  boolean canAccept() {
    return !leaving && health.canAccept(ownInFlight);
  }

  long weightVersion() {
    return weightVersion;
  }

  int slots() {
    return slots;
  }

  int cacheGeneration() {
    return cacheGeneration;
  }

  /** Returns the last known outstanding work, in requests of typical size. */
  double outstanding() {
    return ownOutstanding + othersOutstanding;
  }

  /**
   * Returns the estimated current outstanding work, in requests of typical size.
   *
   * <p>The work of other nodes is interpolated from the reported value towards the mean as the
   * report ages. The work of this node is exact.
   */
  double outstanding(double meanOthersOutstanding, double ageScaleMillis, long nowMillis) {
    double ageMillis = Math.max(0, nowMillis - reportedAtMillis);
    double reportWeight = ageScaleMillis / (ageScaleMillis + ageMillis);
    return ownOutstanding
        + reportWeight * othersOutstanding
        + (1 - reportWeight) * meanOthersOutstanding;
  }

  double othersOutstanding() {
    return othersOutstanding;
  }

  void onDispatched(double work, long nowMillis) {
    ownInFlight++;
    ownOutstanding += work;
    history.record(ownInFlight, nowMillis);
  }

  void onEnded(double work, long nowMillis) {
    ownInFlight--;
    ownOutstanding = ownInFlight == 0 ? 0 : ownOutstanding - work;
    history.record(ownInFlight, nowMillis);
  }

  /** Applies a report unless a newer one is known, and returns whether it was applied. */
  boolean onLoadReport(LoadReport report, long nowMillis) {
    long measuredAtMillis = Math.min(report.measuredAtMillis(), nowMillis);
    if (measuredAtMillis < reportedAtMillis) {
      return false;
    }
    int ownAtReport = history.countAt(measuredAtMillis);
    reportedAtMillis = measuredAtMillis;
    othersOutstanding = Math.max(0, report.running() + report.queued() - ownAtReport);
    slots = report.batchLimit();
    weightVersion = report.weightVersion();
    return true;
  }

  /**
   * Records the sequence number of a cache event.
   *
   * <p>A gap starts a new cache generation, which reduces confidence in earlier cache entries.
   */
  void onCacheEvent(long sequence) {
    boolean hasGap = lastEventSequence != 0 && sequence != lastEventSequence + 1;
    if (hasGap) {
      cacheGeneration++;
    }
    lastEventSequence = sequence;
  }

  Partition partition() {
    return partition;
  }

  int partitionIndex() {
    return partitionIndex;
  }

  void setPartition(Partition partition, int partitionIndex) {
    this.partition = partition;
    this.partitionIndex = partitionIndex;
  }
}
