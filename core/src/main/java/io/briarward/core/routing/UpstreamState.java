package io.briarward.core.routing;

import io.briarward.core.configuration.Upstream;

/** What a node knows of one upstream. Not thread-safe. */
final class UpstreamState {
  private final Upstream upstream;
  private final Health health = new Health();
  private final InFlightHistory history = new InFlightHistory();
  private boolean leaving;
  private long weightVersion;
  private int slots;
  private int ownCount;
  private double ownWork;
  private double othersAtReport;
  private long reportedAtMillis;
  private long lastEventSequence;
  private int cacheGeneration;

  /** The partition that holds this upstream while it accepts work, or null. */
  private Partition partition;

  private int partitionIndex;

  UpstreamState(Upstream upstream) {
    this.upstream = upstream;
    this.slots = upstream.maxConcurrent();
  }

  Upstream upstream() {
    return upstream;
  }

  Health health() {
    return health;
  }

  boolean leaving() {
    return leaving;
  }

  void markLeaving() {
    leaving = true;
  }

  /** Returns whether new work may be sent. */
  boolean accepts() {
    return !leaving && health.accepts(ownCount);
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

  /** Returns the outstanding work as last known, in requests of typical size. */
  double outstanding() {
    return ownWork + othersAtReport;
  }

  /**
   * Returns the outstanding work expected now.
   *
   * <p>What other nodes have in flight moves towards the mean as the report ages; own work is
   * exact.
   */
  double outstanding(double meanOthers, double ageScaleMillis, long nowMillis) {
    double ageMillis = Math.max(0, nowMillis - reportedAtMillis);
    double trust = ageScaleMillis / (ageScaleMillis + ageMillis);
    return ownWork + trust * othersAtReport + (1 - trust) * meanOthers;
  }

  double othersAtReport() {
    return othersAtReport;
  }

  void onDispatched(double work, long nowMillis) {
    ownCount++;
    ownWork += work;
    history.record(ownCount, nowMillis);
  }

  void onEnded(double work, long nowMillis) {
    ownCount--;
    ownWork = ownCount == 0 ? 0 : ownWork - work;
    history.record(ownCount, nowMillis);
  }

  /** Takes a report unless a newer one is known, and returns whether it did. */
  boolean onLoadReport(LoadReport report, long nowMillis) {
    long measuredAtMillis = Math.min(report.measuredAtMillis(), nowMillis);
    if (measuredAtMillis < reportedAtMillis) {
      return false;
    }
    int own = history.at(measuredAtMillis);
    reportedAtMillis = measuredAtMillis;
    othersAtReport = Math.max(0, report.running() + report.queued() - own);
    slots = report.batchLimit();
    weightVersion = report.weightVersion();
    return true;
  }

  /** Records an event number; after a gap, earlier knowledge of the cache is less trusted. */
  void onCacheEvent(long sequence) {
    boolean gap = lastEventSequence != 0 && sequence != lastEventSequence + 1;
    if (gap) {
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
