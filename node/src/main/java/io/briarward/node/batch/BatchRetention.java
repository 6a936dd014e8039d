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
 * Removes batches that nobody asks for any more.
 *
 * <p>Of the nodes alive, one chosen by hash removes a batch. Confined to the event loop.
 */
final class BatchRetention implements AutoCloseable {
  private static final long SCAN_MILLIS = 1_000; // Nothing depends on a quick removal.
  private static final long RETRY_MILLIS = 10_000;

  private final long retentionMillis;
  private final BatchStore store;
  private final BatchDirectory directory;
  private final Scheduler scheduler;
  private final NodeRegistry nodes;
  private final EventLog log;
  private final String incarnation;
  private final Set<String> busy = new HashSet<>();
  private Disposable scanning = Disposable.disposed();

  private BatchRetention(
      long retentionMillis,
      String incarnation,
      BatchStore store,
      BatchDirectory directory,
      Scheduler scheduler,
      NodeRegistry nodes,
      EventLog log) {
    checkArgument(retentionMillis > 0, "retentionMillis is %s, expected above 0", retentionMillis);
    this.retentionMillis = retentionMillis;
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.store = checkNotNull(store, "store");
    this.directory = checkNotNull(directory, "directory");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.nodes = checkNotNull(nodes, "nodes");
    this.log = checkNotNull(log, "log");
  }

  /**
   * Starts to remove old batches.
   *
   * @param retentionMillis how long a batch that has ended is kept after it was accepted
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
    retention.scanning = Timers.every(scheduler, SCAN_MILLIS, retention::scan);
    return retention;
  }

  @Override
  public void close() {
    scanning.dispose();
  }

  private void scan() {
    if (!nodes.clockKnown()) {
      return; // Without the store's clock the age of a batch is not known.
    }
    ImmutableSet<String> alive = nodes.alive();
    for (StoredHead stored : directory.all()) {
      if (old(stored.head())
          && !busy.contains(stored.head().id())
          && DutyCandidates.choose(stored.head().id(), alive, 1).contains(incarnation)) {
        remove(stored);
      }
    }
  }

  private boolean old(BatchHead head) {
    return !head.open()
        && ageMillis(head) >= Math.max(retentionMillis, head.terms().maxWaitMillis());
  }

  private long ageMillis(BatchHead head) {
    return nodes.storeMillis() - head.acceptedAtMillis();
  }

  private void remove(StoredHead stored) {
    String id = stored.head().id();
    busy.add(id);
    var unused =
        store
            .remove(stored)
            .subscribe(
                () -> {
                  busy.remove(id);
                  directory.forget(id);
                  log.info("batch-removed", "batch", id, "ageMillis", ageMillis(stored.head()));
                },
                error -> {
                  var later =
                      scheduler.scheduleDirect(
                          () -> busy.remove(id), RETRY_MILLIS, TimeUnit.MILLISECONDS);
                  log.warn("batch-not-removed", "batch", id, "cause", error.toString());
                });
  }
}
