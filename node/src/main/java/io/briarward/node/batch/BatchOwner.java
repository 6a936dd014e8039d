package io.briarward.node.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.batch.BatchHead;
import io.briarward.core.batch.BatchRun;
import io.briarward.core.batch.BatchSpec;
import io.briarward.core.batch.CompetingBatches;
import io.briarward.core.batch.GroupStanding;
import io.briarward.core.batch.ItemResult;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.node.batch.BatchStore.StoredHead;
import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
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

  /** The time in which the items of a batch that is due are to start, in milliseconds. */
  private static final long MIN_LEFT_MILLIS = 1_000;

  private final BatchContext context;
  private final LoadedBatch batch;
  private final BatchSpec spec;
  private final BatchRun run;
  private final SamplerChooser samplers;
  private final RewardRunner rewards;
  private final ItemRuns items;
  private StoredHead head;
  private boolean stopped;
  private boolean draining;
  private boolean committing;
  private long nextCommitMillis = Long.MIN_VALUE;

  BatchOwner(
      BatchContext context, LoadedBatch batch, StoredHead head, ImmutableSet<String> recordedIds) {
    this.context = checkNotNull(context, "context");
    this.batch = checkNotNull(batch, "batch");
    this.spec = batch.spec();
    this.head = checkNotNull(head, "head");
    this.run = BatchRun.create(spec, head.head().terms(), recordedIds, context.texts());
    this.samplers = new SamplerChooser(context, spec, head.head().terms(), run);
    this.items = new ItemRuns(context, spec, run, samplers, () -> this.head.head(), () -> stopped);
    this.rewards = new RewardRunner(context, spec.id(), head.head().terms(), run);
  }

  LoadedBatch batch() {
    return batch;
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
    return samplers.waitingThatFit() * 1_000.0 / Math.max(MIN_LEFT_MILLIS, leftMillis);
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

  /** Returns the rank among batches whose items samplers reject. */
  int rejectionRank() {
    return items.rejectionRank();
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
    return stopped || (items.isEmpty() && run.unscored() == 0 && !run.hasResults() && !committing);
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
    beginStep();
    if (mayStart()) {
      items.startAll();
    }
    endStep();
  }

  /** The part of {@link #step} before items start. */
  void beginStep() {
    if (stopped) {
      return;
    }
    items.cancelStalled();
    if (isAbandoned()) {
      run.failWaiting();
    }
  }

  /** Starts the items of the groups that have a standing. */
  void startItems(GroupStanding standing) {
    if (mayStart()) {
      items.start(standing);
    }
  }

  /** The part of {@link #step} after items have started. */
  void endStep() {
    if (stopped) {
      return;
    }
    if (mayStart()) {
      items.moveSlow();
    }
    if (!stopped) {
      rewards.step();
    }
    commitResults();
  }

  private boolean mayStart() {
    return !stopped && !draining && !isAbandoned();
  }

  private boolean isAbandoned() {
    return context.storeTimeMillis() >= head.head().abandonAtMillis();
  }

  /** Returns whether the batch competes with others for samplers. */
  boolean competes() {
    return CompetingBatches.competeOn(context.configuration(), service());
  }

  /** Returns the work that is left, by which batches that compete are ordered. */
  CompetingBatches.Work work() {
    return new CompetingBatches.Work(
        spec.id(), head.head().dueAtMillis(), run.unfinished(), items.rejectionRank());
  }

  /** Cancels all runs; no further results are recorded. */
  void stop(String reason) {
    if (stopped) {
      return;
    }
    stopped = true;
    items.cancelAll();
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
