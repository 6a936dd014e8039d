package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.batch.RunPace;
import io.briarward.core.batch.RunPlacement;
import io.briarward.core.batch.TextMemory;
import io.briarward.core.fleet.FleetConfiguration;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.telemetry.Metrics;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The services and state that all batch owners of a process share.
 *
 * <p>Confined to the event loop.
 */
final class BatchContext {
  /** The unfinished texts of all batches of a process, many times those of one batch. */
  private static final long MAX_TEXT_BYTES = 16 << 20;

  private final Scheduler scheduler;
  private final FleetState fleet;
  private final BatchStore store;
  private final SamplerClient samplers;
  private final RewardClient rewards;
  private final Metrics metrics;
  private final EventLog log;
  private final String incarnation;
  private final LongSupplier storeClockMillis;
  private final BatchDirectory directory;
  private final Runnable onStepRequested;
  private final RunPlacement placement = RunPlacement.create();
  private final RunPace pace = RunPace.create();
  private final TextMemory texts;
  private long tokenCount;

  BatchContext(
      Scheduler scheduler,
      FleetState fleet,
      BatchStore store,
      SamplerClient samplers,
      RewardClient rewards,
      Metrics metrics,
      EventLog log,
      String incarnation,
      LongSupplier storeClockMillis,
      BatchDirectory directory,
      Runnable onStepRequested) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.fleet = checkNotNull(fleet, "fleet");
    this.store = checkNotNull(store, "store");
    this.samplers = checkNotNull(samplers, "samplers");
    this.rewards = checkNotNull(rewards, "rewards");
    this.metrics = checkNotNull(metrics, "metrics");
    this.log = checkNotNull(log, "log");
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.storeClockMillis = checkNotNull(storeClockMillis, "storeClockMillis");
    this.directory = checkNotNull(directory, "directory");
    this.onStepRequested = checkNotNull(onStepRequested, "onStepRequested");
    this.texts = TextMemory.of(MAX_TEXT_BYTES, bytes -> log.warn("text-dropped", "bytes", bytes));
  }

  Scheduler scheduler() {
    return scheduler;
  }

  BatchStore store() {
    return store;
  }

  SamplerClient samplers() {
    return samplers;
  }

  RewardClient rewards() {
    return rewards;
  }

  Metrics metrics() {
    return metrics;
  }

  EventLog log() {
    return log;
  }

  String incarnation() {
    return incarnation;
  }

  UpstreamBalancer balancer() {
    return fleet.balancer();
  }

  /** Handles what the response to a request says about the upstream that sent it. */
  void onNotice(UpstreamEntry upstream, UpstreamNotice notice, String requestId) {
    fleet.onNotice(upstream, notice, requestId);
  }

  RunPlacement placement() {
    return placement;
  }

  /** Returns how long the runs of all batches took of late. */
  RunPace pace() {
    return pace;
  }

  /** Returns the memory of the unfinished texts of all batches. */
  TextMemory texts() {
    return texts;
  }

  Optional<FleetConfiguration> configuration() {
    return fleet.configuration();
  }

  /** Returns the time of the monotonic clock, in milliseconds. */
  long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  /** Returns the earliest time that the store's clock may show, in milliseconds. */
  long storeTimeMillis() {
    return storeClockMillis.getAsLong();
  }

  /** Returns a token that identifies one write among all writes of all processes. */
  String nextToken() {
    tokenCount++;
    return incarnation + "#" + tokenCount;
  }

  /**
   * Reports a head that this process has written, or that the store returned for a write.
   *
   * <p>The change feed may show it much later, and until then this process would take itself for
   * the owner of a batch that has ended or that another process runs.
   */
  void onHeadSeen(StoredHead head) {
    directory.update(head);
  }

  /** Reports a batch whose head was removed. */
  void onHeadRemoved(String batchId) {
    directory.remove(batchId);
  }

  /** Requests a step of all owners before the next periodic one. */
  void requestStep() {
    onStepRequested.run();
  }
}
