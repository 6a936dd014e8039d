package io.briarward.node.rollout;

import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.core.rollout.RolloutHeader;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.RolloutPlanner;
import io.briarward.core.rollout.RolloutSpec;
import io.briarward.core.rollout.RolloutView;
import io.briarward.core.rollout.ShardLease;
import io.briarward.core.rollout.StragglerPolicy;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Runs one shard of a rollout while this node holds its lease. */
final class ShardOwner implements AutoCloseable {
  private static final long STEP_INTERVAL_MILLIS = 100;
  private static final long REFRESH_INTERVAL_MILLIS = 2_000;
  private static final int MAX_ATTEMPTS_IN_FLIGHT = 256;

  private final RolloutContext context;
  private final RolloutView view;
  private final RolloutPlanner planner;
  private final AttemptRunner runner;
  private final OutcomeWriter writer;
  private final CompositeDisposable loops = new CompositeDisposable();
  private final Runnable onClosed;
  private Row lease;
  private boolean draining;

  private ShardOwner(
      RolloutContext context, Row lease, RolloutView view, RolloutSpec spec, Runnable onClosed) {
    this.context = context;
    this.lease = lease;
    this.view = view;
    this.onClosed = onClosed;
    RolloutHeader header = view.header();
    String uniquePrefix = context.node() + "-" + lease.version();
    this.planner =
        RolloutPlanner.create(
            uniquePrefix,
            header.groupsOf(spec, RolloutKey.shardIndex(lease)),
            header.bound(),
            StragglerPolicy.of(header.extraAttemptShare()));
    this.runner = new AttemptRunner(context, view.key(), header.service(), planner);
    this.writer = new OutcomeWriter(context, view, uniquePrefix);
  }

  /**
   * Starts to run a shard.
   *
   * @param lease the row of the lease that this node holds
   * @param onClosed called once, when the owner is closed
   */
  static Single<ShardOwner> start(RolloutContext context, Row lease, Runnable onClosed) {
    RolloutKey key = RolloutKey.ofShardRow(lease);
    RolloutStore store = context.store();
    return store
        .open(key)
        .flatMap(view -> store.refresh(view).andThen(Single.just(view)))
        .flatMap(
            view ->
                store
                    .spec(key, view.header())
                    .map(spec -> new ShardOwner(context, lease, view, spec, onClosed)))
        .doOnSuccess(ShardOwner::run);
  }

  /** Starts no more attempts; attempts in flight continue and completed groups are recorded. */
  void drain() {
    draining = true;
  }

  /** Returns whether no attempt is in flight and all completed groups are recorded. */
  boolean isIdle() {
    return planner.inFlight() == 0 && writer.isIdle();
  }

  private void run() {
    view.updatePlanner(planner);
    every(STEP_INTERVAL_MILLIS, Completable.fromAction(this::step));
    every(
        REFRESH_INTERVAL_MILLIS,
        Completable.defer(() -> context.store().refreshProgress(view))
            .andThen(Completable.fromAction(() -> view.updatePlanner(planner))));
    every(ShardLease.RENEWAL_MILLIS, Completable.defer(this::renew));
  }

  private void every(long periodMillis, Completable operation) {
    Disposable loop =
        Flowable.interval(periodMillis, TimeUnit.MILLISECONDS, context.scheduler())
            .onBackpressureDrop()
            .concatMapCompletable(
                unused -> operation.doOnError(this::logFailure).onErrorComplete(), 1)
            .subscribe();
    loops.add(loop);
  }

  private void step() {
    boolean ended =
        planner.isDelivered()
            || view.header().cancelled()
            || context.wallMillis().getAsLong() >= view.header().dueAtMillis();
    if (ended) {
      finish();
      return;
    }
    int slots = draining ? 0 : Math.max(0, MAX_ATTEMPTS_IN_FLIGHT - planner.inFlight());
    runner.run(planner.poll(context.nowMillis(), slots));
    writer.add(planner.takeCompleted());
    writer.flushIfDue();
  }

  private Completable renew() {
    long wallMillis = context.wallMillis().getAsLong();
    Transaction renewal = ShardLease.renew(lease, context.node(), wallMillis);
    return context
        .store()
        .commit(renewal)
        .doOnSuccess(result -> onRenewed(renewal, result))
        .ignoreElement();
  }

  private void onRenewed(Transaction renewal, CommitResult result) {
    RowKey key = RowKey.of(RolloutKey.SHARDS, lease.key());
    if (result instanceof CommitResult.Committed committed) {
      long version = committed.versions().get(key);
      lease = new Row(lease.key(), version, renewal.writes().get(0).value().orElseThrow());
    } else if (result instanceof CommitResult.Conflict conflict) {
      Optional<Row> present = conflict.conflicts().get(key);
      boolean own =
          present.isPresent() && ShardLease.fromRow(present.get()).owner().equals(context.node());
      if (own) {
        lease = present.get();
      } else {
        Logger.info("lost the lease of shard {}", lease.key());
        close();
      }
    }
  }

  private void finish() {
    Logger.debug("shard {} is finished", lease.key());
    commitLease(ShardLease.close(lease));
    close();
  }

  /** Releases the lease, so that another node takes over without waiting for it to expire. */
  void release() {
    commitLease(ShardLease.release(lease));
    close();
  }

  private void commitLease(Transaction transaction) {
    Disposable unused = context.store().commit(transaction).subscribe(done -> {}, this::logFailure);
  }

  private void logFailure(Throwable cause) {
    Logger.warn("operation of shard {} failed: {}", lease.key(), cause.getMessage());
  }

  @Override
  public void close() {
    if (!loops.isDisposed()) {
      loops.dispose();
      runner.close();
      writer.close();
      onClosed.run();
    }
  }
}
