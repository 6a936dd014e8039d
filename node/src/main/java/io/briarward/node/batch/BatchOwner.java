package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchItem;
import io.briarward.core.batch.BatchRun;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.batch.SampleEvent;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.fleet.UpstreamNotice;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.batch.SamplerClient.RunOutcome;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Runs the items of one batch and records their results while this process owns the batch.
 *
 * <p>It knows which items the head lists. If the head turns out to list others, it stops, so that
 * the batch is loaded anew and no item is listed twice: a write that this process sent before it
 * loaded the batch may be applied afterwards.
 *
 * <p>Confined to the event loop.
 */
final class BatchOwner {
  /** The largest number of results in one transaction; the platform's limit is 100 entries. */
  private static final int MAX_RESULTS_PER_COMMIT = 60;

  /**
   * The largest size of the results in one transaction, which grow by a third; the limit is 1 MB.
   */
  private static final int MAX_COMMIT_BYTES = 600_000;

  /** The minimum time between two transactions of a batch. */
  private static final long MIN_COMMIT_INTERVAL_MILLIS = 80;

  /** The delay before a failed store call is retried. */
  private static final long STORE_RETRY_DELAY_MILLIS = 200;

  /**
   * A run without progress for this long is cancelled. Exceeds the time that a sampler takes to
   * load new weights, since its runs pause during the load.
   */
  private static final long STALL_TIMEOUT_MILLIS = 3_000;

  /** The minimum age of a run that may be moved to another sampler; about ten events. */
  private static final long MIN_RUN_AGE_FOR_MOVE_MILLIS = 500;

  /** How long this node sends nothing to a sampler that rejected an item. */
  private static final long REJECTION_BACKOFF_MILLIS = 100;

  /** The time in which the items of a batch that is due are to start, in milliseconds. */
  private static final long MIN_LEFT_MILLIS = 1_000;

  private final BatchContext context;
  private final BatchSpec spec;
  private final BatchRun run;
  private final SamplerChooser samplers;
  private final RewardRunner rewards;
  private final Map<String, ActiveRun> activeRuns = new HashMap<>();
  private StoredHead head;
  private boolean stopped;
  private boolean draining;
  private boolean awaitingWeights;
  private boolean committing;
  private long nextCommitMillis = Long.MIN_VALUE;

  private static final class ActiveRun {
    final UpstreamEntry sampler;
    final BatchItem item;
    final OptionalLong resumeAfter;
    final long startedAtMillis;
    long progressAtMillis;
    int events;
    SamplerClient.Run run;

    ActiveRun(UpstreamEntry sampler, BatchRun.Dispatch dispatch, long nowMillis) {
      this.sampler = sampler;
      this.item = dispatch.item();
      this.resumeAfter = dispatch.resumeAfter();
      this.startedAtMillis = nowMillis;
      this.progressAtMillis = nowMillis;
    }
  }

  BatchOwner(
      BatchContext context, BatchSpec spec, StoredHead head, ImmutableSet<String> recordedIds) {
    this.context = checkNotNull(context, "context");
    this.spec = checkNotNull(spec, "spec");
    this.head = checkNotNull(head, "head");
    this.run = BatchRun.create(spec, head.head().terms(), recordedIds, context.texts());
    this.samplers = new SamplerChooser(context, spec, head.head().terms(), run);
    this.rewards = new RewardRunner(context, spec.id(), head.head().terms(), run);
  }

  BatchSpec spec() {
    return spec;
  }

  /**
   * Returns the number of items per second to start so that all items have started when the batch
   * is due, or 0 if they cannot run on the given sampler.
   */
  double neededPerSecond(UpstreamEntry sampler) {
    if (!samplers.accepts(sampler)) {
      return 0;
    }
    long leftMillis = head.head().dueAtMillis() - context.storeTimeMillis();
    return run.waiting() * 1_000.0 / Math.max(MIN_LEFT_MILLIS, leftMillis);
  }

  /** Returns the service whose samplers run the batch. */
  String service() {
    return head.head().terms().service();
  }

  /** Returns the services that score complete texts of the batch. */
  ImmutableSet<String> rewardServices() {
    return rewards.services();
  }

  /** Returns when the batch was accepted, on the store's clock. */
  long acceptedAtMillis() {
    return head.head().acceptedAtMillis();
  }

  /** Returns whether this process no longer runs the batch. */
  boolean stopped() {
    return stopped;
  }

  /** Starts no further items; runs in flight continue and their results are recorded. */
  void drain() {
    draining = true;
  }

  /** Returns whether no run is in flight, all texts are scored and all results are recorded. */
  boolean isDrained() {
    return stopped
        || (activeRuns.isEmpty() && run.unscored() == 0 && !run.hasResults() && !committing);
  }

  /** Handles a head that another process may have written. */
  void onHead(StoredHead newer) {
    if (newer.rowVersion() <= head.rowVersion()) {
      return;
    }
    boolean mayBeOwnCommit = committing && newer.head().isOwnedBy(context.incarnation());
    if (!mayBeOwnCommit || newer.head().ended()) {
      applyHead(newer);
    }
  }

  /** Releases the batch, so that another node takes it over without waiting for a time-out. */
  Single<Boolean> release() {
    if (stopped || !head.head().isOpen()) {
      return Single.just(false);
    }
    BatchHead next = head.head().withOwner(Optional.empty(), context.nextToken());
    stop("released");
    return context
        .store()
        .replace(head, next, ImmutableList.of())
        .doOnSuccess(
            result -> {
              if (result instanceof CommitResult.Committed committed) {
                context.onHeadSeen(StoredHead.written(next, committed));
              }
            })
        .map(CommitResult::committed);
  }

  /** Cancels stalled runs, starts and moves runs, scores texts and records results. */
  void step() {
    if (stopped) {
      return;
    }
    cancelStalledRuns();
    if (context.storeTimeMillis() >= head.head().abandonAtMillis()) {
      run.failWaiting();
    } else if (!draining) {
      startItems();
      moveSlowRuns();
    }
    if (!stopped) {
      rewards.step();
    }
    commitResults();
  }

  /** Cancels all runs; no further results are recorded. */
  void stop(String reason) {
    if (stopped) {
      return;
    }
    stopped = true;
    activeRuns
        .values()
        .forEach(
            each -> {
              each.run.cancel();
              context.balancer().onReleased(each.sampler.id());
              context.placement().onEnded(each.sampler, run.expectedTokens(each.item));
            });
    activeRuns.clear();
    rewards.close();
    run.discardTexts();
    context
        .log()
        .info(
            "batch-stopped",
            "batch",
            spec.id(),
            "reason",
            reason,
            "listed",
            head.head().listed(),
            "total",
            head.head().total(),
            "ageMillis",
            context.storeTimeMillis() - head.head().acceptedAtMillis());
  }

  private void startItems() {
    long nowMillis = context.nowMillis();
    for (BatchItem next : run.startable(nowMillis)) {
      Optional<UpstreamEntry> sampler = samplers.choose(next, nowMillis);
      logWeightAvailability(sampler.isPresent() || samplers.existsWithRequiredVersion(next));
      if (sampler.isPresent()) {
        start(next, sampler.get(), nowMillis);
      } else if (run.resumableAt(next.id()).isEmpty()) {
        return; // No sampler has room for any item that begins anew.
      }
      if (stopped) {
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

  private void start(BatchItem item, UpstreamEntry sampler, long nowMillis) {
    final BatchRun.Dispatch dispatch = run.start(item.id(), sampler.softwareVersion());
    ActiveRun started = new ActiveRun(sampler, dispatch, nowMillis);
    activeRuns.put(item.id(), started);
    context.placement().onStarted(sampler, run.expectedTokens(item));
    context.balancer().onSent(sampler.id());
    long leftMillis = Math.max(1, head.head().abandonAtMillis() - context.storeTimeMillis());
    started.run =
        context
            .samplers()
            .run(
                new SamplerClient.ItemCall(
                    dispatch.item(),
                    head.head().organisation(),
                    head.head().terms().host(),
                    sampler,
                    dispatch.resumeAfter(),
                    leftMillis),
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
        return run.onVersion(itemId, version);
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
          BatchOwner.this.onEnd(started, outcome, cause);
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
    switch (outcome) {
      case COMPLETE -> {
        context.balancer().onCompleted(samplerId);
        context
            .balancer()
            .pacing()
            .onItemCompleted(ended.sampler.service(), nowMillis - ended.startedAtMillis);
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
        run.onInterrupted(itemId, nowMillis);
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
            "batchAgeMillis",
            context.storeTimeMillis() - head.head().acceptedAtMillis());
    context.requestStep();
  }

  private void cancelStalledRuns() {
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
  private void moveSlowRuns() {
    if (run.hasWaiting() || head.head().terms().singleVersion()) {
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

  private void commitResults() {
    if (committing || !run.hasResults() || context.nowMillis() < nextCommitMillis) {
      return;
    }
    ImmutableList<ItemResult> results = limitSize(run.results(maxResults()));
    BatchHead next = head.head().withListed(results.size(), context.nextToken());
    committing = true;
    var unused =
        Single.concatEager(
                results.stream().map(result -> context.store().toRow(spec.id(), result)).toList())
            .toList()
            .subscribe(
                rows -> sendCommit(next, ImmutableList.copyOf(rows)),
                error -> {
                  committing = false;
                  nextCommitMillis = context.nowMillis() + STORE_RETRY_DELAY_MILLIS;
                  context
                      .log()
                      .warn("output-write-failed", "batch", spec.id(), "cause", error.toString());
                });
  }

  /**
   * Returns the largest number of results in the next transaction.
   *
   * <p>A batch in which an earlier owner listed an item twice has fewer positions left than items.
   */
  private int maxResults() {
    int positionsLeft = head.head().total() - head.head().listed();
    return Math.min(MAX_RESULTS_PER_COMMIT, positionsLeft);
  }

  private static ImmutableList<ItemResult> limitSize(ImmutableList<ItemResult> results) {
    int bytes = 0;
    int count = 0;
    for (ItemResult result : results) {
      bytes += result.toJson().toString().getBytes(StandardCharsets.UTF_8).length;
      if (count > 0 && bytes > MAX_COMMIT_BYTES) {
        break;
      }
      count++;
    }
    return results.subList(0, count);
  }

  /**
   * Sends a transaction until its outcome is known.
   *
   * <p>A lost response leaves unknown whether the transaction was applied, so the same transaction
   * is sent again. It takes effect once, and the token in the head identifies the write.
   */
  private void sendCommit(BatchHead next, ImmutableList<JsonNode> rows) {
    if (stopped) {
      return;
    }
    var unused =
        context
            .store()
            .replace(head, next, rows)
            .subscribe(
                result -> onCommitted(next, rows, result),
                error -> {
                  context
                      .log()
                      .warn("listing-unclear", "batch", spec.id(), "cause", error.toString());
                  var again =
                      context
                          .scheduler()
                          .scheduleDirect(
                              () -> sendCommit(next, rows),
                              STORE_RETRY_DELAY_MILLIS,
                              TimeUnit.MILLISECONDS);
                });
  }

  private void onCommitted(BatchHead next, ImmutableList<JsonNode> rows, CommitResult result) {
    if (result instanceof CommitResult.Committed committed) {
      onRecorded(StoredHead.written(next, committed), rows.size());
      return;
    }
    Optional<Row> present =
        ((CommitResult.Conflict) result).conflicts().get(BatchStore.headKey(spec.id()));
    if (present == null || present.isEmpty()) {
      committing = false;
      context.onHeadRemoved(spec.id());
      stop("head removed");
      return;
    }
    StoredHead stored = StoredHead.of(present.get());
    if (stored.head().token().equals(next.token())) {
      onRecorded(stored, rows.size());
    } else {
      committing = false;
      applyHead(stored);
      context.onHeadSeen(stored);
    }
  }

  private void onRecorded(StoredHead written, int count) {
    committing = false;
    run.removeResults(count);
    nextCommitMillis = context.nowMillis() + MIN_COMMIT_INTERVAL_MILLIS;
    head = written;
    context.onHeadSeen(head);
    if (!written.head().isOpen()) {
      stop("complete");
    }
  }

  private void applyHead(StoredHead newer) {
    boolean listingKnown = newer.head().listed() == head.head().listed();
    head = newer;
    if (newer.head().ended()) {
      stop("ended");
    } else if (!newer.head().isOwnedBy(context.incarnation())) {
      stop("taken over by " + newer.head().owner().orElse("nobody"));
    } else if (!newer.head().isOpen()) {
      stop("complete");
    } else if (!listingKnown) {
      stop("unknown items are listed");
    }
  }
}
