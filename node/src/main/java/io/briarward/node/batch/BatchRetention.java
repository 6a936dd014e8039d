package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.lease.DutyCandidates;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Removes batches after their retention time.
 *
 * <p>Of the live nodes, the one that the hash of a batch's id selects removes it. Confined to the
 * event loop.
 */
final class BatchRetention implements AutoCloseable {
  private static final long SCAN_INTERVAL_MILLIS = 1_000; // Nothing depends on prompt removal.
  private static final long RETRY_DELAY_MILLIS = 10_000;

  private final long retentionMillis;
  private final BatchStore store;
  private final BatchDirectory directory;
  private final Scheduler scheduler;
  private final NodeRegistry nodes;
  private final EventLog log;
  private final String incarnation;
  private final Set<String> removingIds = new HashSet<>();
  private Disposable scanTimer = Disposable.disposed();

  private BatchRetention(
      long retentionMillis,
      String incarnation,
      BatchStore store,
      BatchDirectory directory,
      Scheduler scheduler,
      NodeRegistry nodes,
      EventLog log) {
    checkArgument(retentionMillis > 0, "retentionMillis is %s, expected > 0", retentionMillis);
    this.retentionMillis = retentionMillis;
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.store = checkNotNull(store, "store");
    this.directory = checkNotNull(directory, "directory");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.nodes = checkNotNull(nodes, "nodes");
    this.log = checkNotNull(log, "log");
  }

  /**
   * Starts to remove batches after their retention time.
   *
   * @param retentionMillis how long a batch that is complete or ended is kept after it was accepted
   */
  static BatchRetention start(
      long retentionMillis,
      String incarnation,
      BatchStore store,
      BatchDirectory directory,
      Scheduler scheduler,
      NodeRegistry nodes,
      EventLog log) {
    BatchRetention retention =
        new BatchRetention(retentionMillis, incarnation, store, directory, scheduler, nodes, log);
    retention.scanTimer = Timers.every(scheduler, SCAN_INTERVAL_MILLIS, retention::scan);
    return retention;
  }

  @Override
  public void close() {
    scanTimer.dispose();
  }

  private void scan() {
    if (!nodes.clockKnown()) {
      return; // The age of a batch is measured by the store's clock.
    }
    ImmutableSet<String> alive = nodes.alive();
    for (StoredHead stored : directory.cachedHeads()) {
      if (isExpired(stored.head())
          && !removingIds.contains(stored.head().id())
          && DutyCandidates.choose(stored.head().id(), alive, 1).contains(incarnation)) {
        remove(stored);
      }
    }
  }

  private boolean isExpired(BatchHead head) {
    return !head.isOpen()
        && ageMillis(head) >= Math.max(retentionMillis, head.terms().maxWaitMillis());
  }

  private long ageMillis(BatchHead head) {
    return nodes.storeMillis() - head.acceptedAtMillis();
  }

  private void remove(StoredHead stored) {
    String id = stored.head().id();
    removingIds.add(id);
    var unused =
        store
            .remove(stored)
            .subscribe(
                () -> {
                  removingIds.remove(id);
                  directory.remove(id);
                  log.info("batch-removed", "batch", id, "ageMillis", ageMillis(stored.head()));
                },
                error -> {
                  var later =
                      scheduler.scheduleDirect(
                          () -> removingIds.remove(id), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                  log.warn("batch-not-removed", "batch", id, "cause", error.toString());
                });
  }
}
