package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchRun;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.GroupStanding;
import io.briarward.core.batch.RejectionBackoff;
import io.briarward.core.batch.SampleEvent;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.briarward.node.batch.SamplerClient.RunOutcome;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Starts, moves and ends the runs of the items of one batch.
 *
 * <p>Confined to the event loop.
 */
final class ItemRuns {
  /**
   * A run without progress for this long is cancelled. Exceeds the time that a sampler takes to
   * load new weights, since its runs pause during the load.
   */
  private static final long STALL_TIMEOUT_MILLIS = 3_000;

  /** The minimum age of a run that may be moved to another sampler; about ten events. */
  private static final long MIN_RUN_AGE_FOR_MOVE_MILLIS = 500;

  /** How long this node sends nothing to a sampler that rejected an item. */
  private static final long REJECTION_BACKOFF_MILLIS = 100;

  private final BatchContext context;
  private final BatchSpec spec;
  private final BatchRun run;
  private final SamplerChooser samplers;
  private final Supplier<BatchHead> head;
  private final BooleanSupplier stopped;
  private final BatchStandings standings;
  private final Map<String, ActiveRun> activeRuns = new HashMap<>();
  private final RejectionBackoff backoff = RejectionBackoff.create();
  private boolean awaitingWeights;

  private static final class ActiveRun {
    final UpstreamEntry sampler;
    final BatchItem item;
    final OptionalLong resumeAfter;
    final OptionalInt urgency;
    final long startedAtMillis;
    final long startedAtStoreMillis;
    long progressAtMillis;
    int events;
    SamplerClient.Run run;

    ActiveRun(
        UpstreamEntry sampler,
        BatchRun.Dispatch dispatch,
        OptionalInt urgency,
        long nowMillis,
        long storeMillis) {
      this.sampler = sampler;
      this.item = dispatch.item();
      this.resumeAfter = dispatch.resumeAfter();
      this.urgency = urgency;
      this.startedAtMillis = nowMillis;
      this.startedAtStoreMillis = storeMillis;
      this.progressAtMillis = nowMillis;
    }
  }

  /**
   * Creates the runs of a batch, none of which is started.
   *
   * @param head returns the newest known head of the batch
   * @param stopped returns whether this process no longer runs the batch
   */
  ItemRuns(
      BatchContext context,
      BatchSpec spec,
      BatchRun run,
      SamplerChooser samplers,
      Supplier<BatchHead> head,
      BooleanSupplier stopped) {
    this.context = checkNotNull(context, "context");
    this.spec = checkNotNull(spec, "spec");
    this.run = checkNotNull(run, "run");
    this.samplers = checkNotNull(samplers, "samplers");
    this.head = checkNotNull(head, "head");
    this.stopped = checkNotNull(stopped, "stopped");
    this.standings = new BatchStandings(context, spec.id(), run, head);
  }

  /** Returns the rank of the batch among those whose items samplers reject. */
  int rejectionRank() {
    return backoff.rank();
  }

  /** Returns whether no run is in flight. */
  boolean isEmpty() {
    return activeRuns.isEmpty();
  }

  /** Cancels all runs without running their items again. */
  void cancelAll() {
    activeRuns
        .values()
        .forEach(
            each -> {
              each.run.cancel();
              context.balancer().onReleased(each.sampler.id());
              context.placement().onEnded(each.sampler, run.expectedTokens(each.item));
            });
    activeRuns.clear();
  }

  /** Starts the items that samplers have room for, in the order of the run. */
  void startAll() {
    start(run.startable(context.nowMillis()), unused -> OptionalInt.empty());
  }

  /** Starts the items of the groups that have a standing, in the order of the run. */
  void start(GroupStanding standing) {
    ImmutableList<BatchItem> startable = run.startable(context.nowMillis());
    if (startable.isEmpty()) {
      return;
    }
    standings.update();
    start(
        startable.stream()
            .filter(item -> standings.of(item) == standing)
            .collect(ImmutableList.toImmutableList()),
        standings::urgency);
  }

  /**
   * Starts items.
   *
   * @param urgency returns the urgency class of an item at this moment, empty if none is sent
   */
  private void start(ImmutableList<BatchItem> items, Function<BatchItem, OptionalInt> urgency) {
    long nowMillis = context.nowMillis();
    for (BatchItem next : items) {
      if (!backoff.permits(nowMillis)) {
        return;
      }
      if (!samplers.fits(next)) {
        continue; // Every sampler would reject it.
      }
      Optional<UpstreamEntry> sampler = samplers.choose(next, nowMillis);
      logWeightAvailability(sampler.isPresent() || samplers.existsWithRequiredVersion(next));
      if (sampler.isPresent()) {
        startOn(sampler.get(), next, urgency.apply(next), nowMillis);
      } else if (run.resumableAt(next.id()).isEmpty()) {
        return; // No sampler has room for any item that begins anew.
      }
      if (stopped.getAsBoolean()) {
        return;
      }
    }
  }

  /** Logs when items begin or cease to wait for a sampler with the required weight version. */
  private void logWeightAvailability(boolean available) {
    if (available == awaitingWeights) {
      awaitingWeights = !available;
      context
          .log()
          .info(
              available ? "weights-found" : "weights-awaited",
              "batch",
              spec.id(),
              "model",
              spec.model().orElse("none"),
              "minVersion",
              spec.minVersion(),
              "unfinished",
              run.unfinished());
    }
  }

  private void startOn(UpstreamEntry sampler, BatchItem item, OptionalInt urgency, long nowMillis) {
    final BatchRun.Dispatch dispatch = run.start(item.id(), sampler.softwareVersion());
    ActiveRun started =
        new ActiveRun(sampler, dispatch, urgency, nowMillis, context.storeTimeMillis());
    activeRuns.put(item.id(), started);
    context.placement().onStarted(sampler, run.expectedTokens(item));
    context.balancer().onSent(sampler.id());
    backoff.onSent();
    urgency.ifPresent(context.metrics()::itemStarted);
    long leftMillis = Math.max(1, head.get().abandonAtMillis() - context.storeTimeMillis());
    started.run =
        context
            .samplers()
            .run(
                new SamplerClient.ItemCall(
                    dispatch.item(),
                    head.get().organisation(),
                    head.get().terms().host(),
                    sampler,
                    dispatch.resumeAfter(),
                    leftMillis,
                    urgency),
                listenerFor(started));
  }

  private SamplerClient.Listener listenerFor(ActiveRun started) {
    String itemId = started.item.id();
    return new SamplerClient.Listener() {
      @Override
      public void onNotice(UpstreamNotice notice) {
        context.onNotice(started.sampler, notice, itemId);
      }

      @Override
      public boolean onVersion(long version) {
        started.progressAtMillis = context.nowMillis();
        context.balancer().onContact(started.sampler.service(), context.nowMillis());
        context.balancer().onAccepted(started.sampler.id());
        if (started.events == 0 && context.balancer().pacing().inForce(started.sampler)) {
          context.requestStep(); // The window may have grown.
        }
        boolean continues = run.onVersion(itemId, version);
        if (continues) {
          backoff.onAccepted();
        }
        return continues;
      }

      @Override
      public boolean onEvent(SampleEvent event) {
        long nowMillis = context.nowMillis();
        context.balancer().onContact(started.sampler.service(), nowMillis);
        context.placement().onEvent(started.sampler, nowMillis - started.progressAtMillis);
        started.progressAtMillis = nowMillis;
        started.events++;
        return run.onEvent(itemId, event);
      }

      @Override
      public void onEnd(RunOutcome outcome, String cause) {
        if (activeRuns.remove(itemId, started)) {
          ItemRuns.this.onEnd(started, outcome, cause);
        }
      }
    };
  }

  /** Cancels a run whose item is to be run again. */
  private void cancelRun(ActiveRun ended, RunOutcome outcome, String cause) {
    ended.run.cancel();
    activeRuns.remove(ended.item.id());
    onEnd(ended, outcome, cause);
  }

  private void onEnd(ActiveRun ended, RunOutcome outcome, String cause) {
    String itemId = ended.item.id();
    long nowMillis = context.nowMillis();
    String samplerId = ended.sampler.id();
    context.placement().onEnded(ended.sampler, run.expectedTokens(ended.item));
    if (outcome == RunOutcome.NOT_RUN) {
      backoff.onRejected(nowMillis);
    } else {
      backoff.onEnded();
    }
    switch (outcome) {
      case COMPLETE -> {
        context.balancer().onCompleted(samplerId);
        context
            .balancer()
            .pacing()
            .onItemCompleted(ended.sampler.service(), nowMillis - ended.startedAtMillis);
        if (ended.resumeAfter.isEmpty()) {
          // By the steady clock: a time of day that is set ahead would make all groups late.
          context
              .pace()
              .onCompleted(
                  run.expectedTokens(ended.item),
                  ended.events,
                  context.storeTimeMillis() - ended.startedAtStoreMillis);
        }
        run.onComplete(itemId);
      }
      case MOVED -> {
        context.balancer().onReleased(samplerId);
        run.onInterrupted(itemId, nowMillis);
      }
      case UNREACHABLE -> {
        context.balancer().onUnreachable(samplerId);
        context.balancer().onFailed(samplerId, nowMillis);
        run.onInterrupted(itemId, nowMillis);
      }
      case BROKEN -> {
        context.balancer().onFailed(samplerId, nowMillis);
        run.onInterrupted(itemId, nowMillis);
      }
      case NOT_RUN -> {
        context.balancer().onRejected(samplerId, nowMillis, REJECTION_BACKOFF_MILLIS);
        run.onRejected(itemId, nowMillis);
      }
      case FAILED -> {
        context.balancer().onReleased(samplerId);
        run.onFailed(itemId, nowMillis);
      }
      case IMPOSSIBLE -> {
        context.balancer().onReleased(samplerId);
        run.onImpossible(itemId);
      }
      default -> throw new AssertionError(outcome);
    }
    context
        .log()
        .info(
            "item-attempt",
            "item",
            itemId,
            "batch",
            spec.id(),
            "sampler",
            samplerId,
            "software",
            ended.sampler.softwareVersion(),
            "resumeAfter",
            ended.resumeAfter.isPresent() ? ended.resumeAfter.getAsLong() : "none",
            "outcome",
            outcome,
            "cause",
            cause,
            "events",
            ended.events,
            "tookMillis",
            nowMillis - ended.startedAtMillis,
            "urgency",
            ended.urgency.isPresent() ? ended.urgency.getAsInt() : "none",
            "batchAgeMillis",
            context.storeTimeMillis() - head.get().acceptedAtMillis());
    context.requestStep();
  }

  /** Cancels the runs that made no progress for long; their items run again. */
  void cancelStalled() {
    long nowMillis = context.nowMillis();
    for (ActiveRun each : ImmutableList.copyOf(activeRuns.values())) {
      if (nowMillis - each.progressAtMillis >= STALL_TIMEOUT_MILLIS) {
        cancelRun(each, RunOutcome.UNREACHABLE, "no progress in " + STALL_TIMEOUT_MILLIS + " ms");
      }
    }
  }

  /**
   * Moves a run that another sampler would complete clearly sooner, once every item has started.
   *
   * <p>The other sampler processes the output so far again, in less time than two events take.
   */
  void moveSlow() {
    if (run.hasWaiting() || head.get().terms().singleVersion()) {
      return;
    }
    long nowMillis = context.nowMillis();
    for (ActiveRun each : ImmutableList.copyOf(activeRuns.values())) {
      boolean oldEnough = nowMillis - each.startedAtMillis >= MIN_RUN_AGE_FOR_MOVE_MILLIS;
      if (oldEnough && samplers.shouldMove(each.item, each.sampler, nowMillis)) {
        cancelRun(each, RunOutcome.MOVED, "a faster sampler has a free slot");
        return; // One run per step, so that the next choice counts it at its new sampler.
      }
    }
  }
}
