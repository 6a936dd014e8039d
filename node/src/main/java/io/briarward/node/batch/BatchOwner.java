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
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.briarward.node.batch.SamplerClient.Ending;
import io.reactivex.rxjava3.core.Single;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Runs the items of one batch and lists their results, as long as this process owns the batch.
 *
 * <p>Confined to the event loop.
 */
final class BatchOwner {
  /** The largest number of results in one transaction; a transaction takes 100 entries. */
  private static final int MAX_RESULTS_PER_COMMIT = 60;

  /** The largest size of the outputs in one transaction, in characters; the limit is 1 MB. */
  private static final int MAX_COMMIT_CHARS = 400_000;

  /** The least time between two transactions of a batch, in milliseconds. */
  private static final long COMMIT_GAP_MILLIS = 80;

  /** How long to wait after a call of the store that failed, in milliseconds. */
  private static final long STORE_RETRY_MILLIS = 200;

  /**
   * How long a run may bring nothing, in milliseconds; above the load of new weights, during which
   * runs stand still.
   */
  private static final long STALL_MILLIS = 3_000;

  /** How long a run stays where it is at least, in milliseconds; some ten events. */
  private static final long MOVE_AFTER_MILLIS = 500;

  /** How long a sampler that refused an item gets nothing from this node, in milliseconds. */
  private static final long REFUSAL_PAUSE_MILLIS = 100;

  private final BatchContext context;
  private final BatchSpec spec;
  private final BatchRun run;
  private final SamplerChoice samplers;
  private final Map<String, Active> active = new HashMap<>();
  private StoredHead head;
  private boolean stopped;
  private boolean draining;
  private boolean waitsForWeights;
  private boolean committing;
  private long nextCommitMillis = Long.MIN_VALUE;

  private static final class Active {
    final UpstreamEntry sampler;
    final BatchItem item;
    final long startedAtMillis;
    long progressAtMillis;
    int events;
    SamplerClient.Run run;

    Active(UpstreamEntry sampler, BatchItem item, long nowMillis) {
      this.sampler = sampler;
      this.item = item;
      this.startedAtMillis = nowMillis;
      this.progressAtMillis = nowMillis;
    }
  }

  BatchOwner(BatchContext context, BatchSpec spec, StoredHead head, ImmutableSet<String> listed) {
    this.context = checkNotNull(context, "context");
    this.spec = checkNotNull(spec, "spec");
    this.head = checkNotNull(head, "head");
    this.run = BatchRun.create(spec, head.head().terms(), listed);
    this.samplers = new SamplerChoice(context, spec, head.head().terms(), run);
  }

  BatchSpec spec() {
    return spec;
  }

  /** Returns when the batch was accepted, on the store's clock. */
  long acceptedAtMillis() {
    return head.head().acceptedAtMillis();
  }

  /** Returns whether nothing is left to do for this process. */
  boolean stopped() {
    return stopped;
  }

  /** Starts no further item; what runs goes on and is listed. */
  void drain() {
    draining = true;
  }

  /** Returns whether all that ran is listed. */
  boolean drained() {
    return stopped || (active.isEmpty() && !run.hasResults() && !committing);
  }

  /** Takes a head that another process wrote. */
  void onHead(StoredHead newer) {
    if (newer.rowVersion() <= head.rowVersion() || committing) {
      return;
    }
    takeHead(newer);
  }

  /** Gives the batch up, so that another node takes it over at once. */
  Single<Boolean> release() {
    if (stopped || !head.head().open()) {
      return Single.just(false);
    }
    BatchHead next = head.head().withOwner(Optional.empty(), context.nextToken());
    stop("released");
    return context.store().replace(head, next, ImmutableList.of()).map(CommitResult::committed);
  }

  /** Starts what may start, ends what stalls and lists what is finished. */
  void step() {
    if (stopped) {
      return;
    }
    endStalledRuns();
    if (context.storeMillis() >= head.head().giveUpAtMillis()) {
      run.giveUpWaiting();
    } else if (!draining) {
      startItems();
      moveSlowRuns();
    }
    commit();
  }

  /** Ends all runs; nothing more is listed. */
  void stop(String reason) {
    if (stopped) {
      return;
    }
    stopped = true;
    active
        .values()
        .forEach(
            each -> {
              each.run.cancel();
              context.balancer().onReleased(each.sampler.id());
              context.placement().onEnded(each.sampler, run.expectedTokens(each.item));
            });
    active.clear();
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
            context.storeMillis() - head.head().acceptedAtMillis());
  }

  private void startItems() {
    long nowMillis = context.nowMillis();
    while (true) {
      Optional<BatchItem> next = run.next(nowMillis);
      if (next.isEmpty()) {
        return;
      }
      Optional<UpstreamEntry> sampler = samplers.choose(next.get(), nowMillis);
      noteWeights(sampler.isPresent() || samplers.hasFresh(next.get()));
      if (sampler.isEmpty()) {
        return;
      }
      start(next.get(), sampler.get(), nowMillis);
      if (stopped) {
        return;
      }
    }
  }

  /** Logs when items begin to wait for weights within their bound, and when there are some. */
  private void noteWeights(boolean fresh) {
    if (fresh == waitsForWeights) {
      waitsForWeights = !fresh;
      context
          .log()
          .info(
              fresh ? "weights-found" : "weights-awaited",
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
    final BatchRun.Dispatch dispatch = run.start(item.id());
    Active started = new Active(sampler, item, nowMillis);
    active.put(item.id(), started);
    context.placement().onStarted(sampler, run.expectedTokens(item));
    context.balancer().onSent(sampler.id());
    long leftMillis = Math.max(1, head.head().giveUpAtMillis() - context.storeMillis());
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
                listener(started));
  }

  private SamplerClient.Listener listener(Active started) {
    String itemId = started.item.id();
    return new SamplerClient.Listener() {
      @Override
      public boolean onVersion(long version) {
        started.progressAtMillis = context.nowMillis();
        context.balancer().onAccepted(started.sampler.id());
        return run.onVersion(itemId, version);
      }

      @Override
      public boolean onEvent(SampleEvent event) {
        long nowMillis = context.nowMillis();
        context.placement().onEvent(started.sampler, nowMillis - started.progressAtMillis);
        started.progressAtMillis = nowMillis;
        started.events++;
        return run.onEvent(itemId, event);
      }

      @Override
      public void onEnd(Ending ending, String cause) {
        if (active.remove(itemId, started)) {
          BatchOwner.this.onEnd(started, ending, cause);
        }
      }
    };
  }

  /** Ends a run that goes on elsewhere. */
  private void end(Active ended, Ending ending, String cause) {
    ended.run.cancel();
    active.remove(ended.item.id());
    onEnd(ended, ending, cause);
  }

  private void onEnd(Active ended, Ending ending, String cause) {
    String itemId = ended.item.id();
    long nowMillis = context.nowMillis();
    String samplerId = ended.sampler.id();
    context.placement().onEnded(ended.sampler, run.expectedTokens(ended.item));
    switch (ending) {
      case COMPLETE -> {
        context.balancer().onCompleted(samplerId);
        run.onComplete(itemId);
      }
      case MOVED -> {
        context.balancer().onReleased(samplerId);
        run.onBroken(itemId, nowMillis);
      }
      case BROKEN -> {
        context.balancer().onFailed(samplerId, nowMillis);
        run.onBroken(itemId, nowMillis);
      }
      case NOT_RUN -> {
        context.balancer().onRefused(samplerId, nowMillis, REFUSAL_PAUSE_MILLIS);
        run.onBroken(itemId, nowMillis);
      }
      case FAILED -> {
        context.balancer().onReleased(samplerId);
        run.onFailed(itemId, nowMillis);
      }
      case IMPOSSIBLE -> {
        context.balancer().onReleased(samplerId);
        run.onImpossible(itemId);
      }
      default -> throw new AssertionError(ending);
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
            "outcome",
            ending,
            "cause",
            cause,
            "events",
            ended.events,
            "tookMillis",
            nowMillis - ended.startedAtMillis,
            "batchAgeMillis",
            context.storeMillis() - head.head().acceptedAtMillis());
    context.requestStep();
  }

  private void endStalledRuns() {
    long nowMillis = context.nowMillis();
    for (Active each : ImmutableList.copyOf(active.values())) {
      if (nowMillis - each.progressAtMillis >= STALL_MILLIS) {
        end(each, Ending.BROKEN, "nothing in " + STALL_MILLIS + " ms");
      }
    }
  }

  /**
   * Moves runs that a clearly faster sampler would end sooner, once every item has started.
   *
   * <p>What they generated so far is read in again there, which takes less than two events.
   */
  private void moveSlowRuns() {
    if (run.waiting() || head.head().terms().singleVersion()) {
      return;
    }
    long nowMillis = context.nowMillis();
    for (Active each : ImmutableList.copyOf(active.values())) {
      boolean settled = nowMillis - each.startedAtMillis >= MOVE_AFTER_MILLIS;
      if (settled && samplers.worthMoving(each.item, each.sampler, nowMillis)) {
        end(each, Ending.MOVED, "a faster sampler has room");
        return; // One at a time, so that each sees where the one before went.
      }
    }
  }

  private void commit() {
    if (committing || !run.hasResults() || context.nowMillis() < nextCommitMillis) {
      return;
    }
    committing = true;
    ImmutableList<ItemResult> results = bounded(run.results(MAX_RESULTS_PER_COMMIT));
    BatchHead next = head.head().withListed(results.size(), context.nextToken());
    var unused =
        Single.concatEager(
                results.stream().map(result -> context.store().toRow(spec.id(), result)).toList())
            .toList()
            .subscribe(
                rows -> send(next, ImmutableList.copyOf(rows)),
                error -> {
                  committing = false;
                  nextCommitMillis = context.nowMillis() + STORE_RETRY_MILLIS;
                  context
                      .log()
                      .warn("output-write-failed", "batch", spec.id(), "cause", error.toString());
                });
  }

  private static ImmutableList<ItemResult> bounded(ImmutableList<ItemResult> results) {
    int chars = 0;
    int count = 0;
    for (ItemResult result : results) {
      chars += result.output().length();
      if (count > 0 && chars > MAX_COMMIT_CHARS) {
        break;
      }
      count++;
    }
    return results.subList(0, count);
  }

  /**
   * Sends a transaction until its outcome is known.
   *
   * <p>A lost answer leaves open whether it was applied, so the very same one is sent again: it
   * takes effect once, and the token in the head tells whose write is there.
   */
  private void send(BatchHead next, ImmutableList<JsonNode> rows) {
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
                              () -> send(next, rows), STORE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                });
  }

  private void onCommitted(BatchHead next, ImmutableList<JsonNode> rows, CommitResult result) {
    if (result instanceof CommitResult.Committed committed) {
      onListed(StoredHead.written(next, committed), rows.size());
      return;
    }
    Optional<Row> present =
        ((CommitResult.Conflict) result).conflicts().get(BatchStore.headKey(spec.id()));
    if (present == null || present.isEmpty()) {
      committing = false;
      stop("head removed");
      return;
    }
    StoredHead there = StoredHead.of(present.get());
    if (there.head().token().equals(next.token())) {
      onListed(there, rows.size());
    } else {
      committing = false;
      takeHead(there);
    }
  }

  private void onListed(StoredHead written, int count) {
    committing = false;
    run.removeResults(count);
    nextCommitMillis = context.nowMillis() + COMMIT_GAP_MILLIS;
    head = written;
    context.onOwnHead(head);
    if (!written.head().open()) {
      stop("complete");
    }
  }

  private void takeHead(StoredHead newer) {
    head = newer;
    if (newer.head().ended()) {
      stop("ended");
    } else if (!newer.head().owner().equals(Optional.of(context.incarnation()))) {
      stop("taken over by " + newer.head().owner().orElse("nobody"));
    } else if (!newer.head().open()) {
      stop("complete");
    }
  }
}
