package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.batch.RunPlacement;
import io.briarward.core.fleet.FleetConfiguration;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.telemetry.EventLog;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** What the owners of batches share. Confined to the event loop. */
final class BatchContext {
  private final Scheduler scheduler;
  private final FleetState fleet;
  private final BatchStore store;
  private final SamplerClient samplers;
  private final EventLog log;
  private final String incarnation;
  private final LongSupplier storeClock;
  private final Consumer<StoredHead> onOwnHead;
  private final Runnable onStepRequested;
  private final RunPlacement placement = RunPlacement.create();
  private long tokens;

  BatchContext(
      Scheduler scheduler,
      FleetState fleet,
      BatchStore store,
      SamplerClient samplers,
      EventLog log,
      String incarnation,
      LongSupplier storeClock,
      Consumer<StoredHead> onOwnHead,
      Runnable onStepRequested) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.fleet = checkNotNull(fleet, "fleet");
    this.store = checkNotNull(store, "store");
    this.samplers = checkNotNull(samplers, "samplers");
    this.log = checkNotNull(log, "log");
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.storeClock = checkNotNull(storeClock, "storeClock");
    this.onOwnHead = checkNotNull(onOwnHead, "onOwnHead");
    this.onStepRequested = checkNotNull(onStepRequested, "onStepRequested");
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

  EventLog log() {
    return log;
  }

  String incarnation() {
    return incarnation;
  }

  UpstreamBalancer balancer() {
    return fleet.balancer();
  }

  RunPlacement placement() {
    return placement;
  }

  Optional<FleetConfiguration> configuration() {
    return fleet.configuration();
  }

  long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  long storeMillis() {
    return storeClock.getAsLong();
  }

  /** Returns a token that no other write of any process has. */
  String nextToken() {
    tokens++;
    return incarnation + "#" + tokens;
  }

  void onOwnHead(StoredHead head) {
    onOwnHead.accept(head);
  }

  void requestStep() {
    onStepRequested.run();
  }
}
