package io.briarward.node.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.Row;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.ShardLease;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.tinylog.Logger;

/**
 * Takes over shards whose lease is open or expired, and runs them.
 *
 * <p>The interval between scans grows with the number of nodes, so that all nodes together read at
 * a bounded rate.
 */
final class ShardOwners implements AutoCloseable {
  private static final long MIN_SCAN_INTERVAL_MILLIS = 1_000;
  private static final long SCAN_INTERVAL_MILLIS_PER_NODE = 20;
  private static final int MAX_SHARDS = 16;
  private static final int MAX_TAKEOVERS_PER_SCAN = 2;
  private static final long IDLE_CHECK_INTERVAL_MILLIS = 50;

  private final RolloutContext context;
  private final IntSupplier liveNodeCount;
  private final Random random;

  /** The owners by shard key; empty while a shard is being taken over. */
  private final Map<String, Optional<ShardOwner>> owners = new HashMap<>();

  private Disposable scanTimer = Disposable.disposed();
  private String lastScannedKey = "";
  private boolean draining;

  private ShardOwners(RolloutContext context, IntSupplier liveNodeCount) {
    this.context = context;
    this.liveNodeCount = liveNodeCount;
    this.random = new Random(context.node().hashCode());
  }

  /**
   * Starts to scan for shards.
   *
   * @param liveNodeCount returns the number of live nodes
   */
  static ShardOwners start(RolloutContext context, IntSupplier liveNodeCount) {
    ShardOwners owners = new ShardOwners(context, liveNodeCount);
    owners.scheduleScan();
    return owners;
  }

  /** Scans for shards at once, since this node has accepted a rollout. */
  void onRolloutSubmitted() {
    Disposable unused = scan().subscribe();
  }

  /** Takes over no more shards; completes when all attempts have ended and are recorded. */
  Completable drain() {
    draining = true;
    scanTimer.dispose();
    forEachOwner(ShardOwner::drain);
    return Flowable.interval(
            0, IDLE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
        .takeUntil((Long unused) -> isIdle())
        .ignoreElements();
  }

  private boolean isIdle() {
    return owners.values().stream().flatMap(Optional::stream).allMatch(ShardOwner::isIdle);
  }

  private void scheduleScan() {
    long intervalMillis =
        Math.max(
            MIN_SCAN_INTERVAL_MILLIS, liveNodeCount.getAsInt() * SCAN_INTERVAL_MILLIS_PER_NODE);
    long jitteredMillis = intervalMillis / 2 + random.nextInt((int) intervalMillis);
    scanTimer =
        Completable.timer(jitteredMillis, TimeUnit.MILLISECONDS, context.scheduler())
            .andThen(Completable.defer(this::scan))
            .subscribe(this::scheduleScan);
  }

  private Completable scan() {
    return context
        .store()
        .shards(lastScannedKey)
        .doOnSuccess(page -> lastScannedKey = page.nextAfter().orElse(""))
        .flatMapCompletable(page -> takeOverSome(page.rows()))
        .doOnError(e -> Logger.warn("scan for shards failed: {}", e.getMessage()))
        .onErrorComplete();
  }

  private Completable takeOverSome(ImmutableList<Row> rows) {
    List<Row> shuffled = new ArrayList<>(rows);
    Collections.shuffle(shuffled, random);
    List<Completable> takeovers = new ArrayList<>();
    for (Row row : shuffled) {
      Optional<Transaction> transaction =
          ShardLease.take(row, context.node(), context.wallMillis().getAsLong());
      boolean eligible =
          !draining
              && takeovers.size() < MAX_TAKEOVERS_PER_SCAN
              && owners.size() < MAX_SHARDS
              && !owners.containsKey(row.key());
      if (eligible && transaction.isPresent()) {
        takeovers.add(takeOver(row, transaction.get()));
      }
    }
    return Completable.merge(takeovers);
  }

  private Completable takeOver(Row row, Transaction transaction) {
    owners.put(row.key(), Optional.empty());
    return context
        .store()
        .commit(transaction)
        .flatMapCompletable(
            result ->
                result instanceof CommitResult.Committed committed
                    ? run(row, transaction, committed)
                    : Completable.fromAction(() -> owners.remove(row.key())))
        .doOnError(e -> owners.remove(row.key()));
  }

  private Completable run(Row row, Transaction transaction, CommitResult.Committed committed) {
    long version = committed.versions().get(RowKey.of(RolloutKey.SHARDS, row.key()));
    Row lease = new Row(row.key(), version, transaction.writes().get(0).value().orElseThrow());
    return ShardOwner.start(context, lease, () -> owners.remove(row.key()))
        .doOnSuccess(owner -> onStarted(row.key(), owner))
        .ignoreElement();
  }

  private void onStarted(String shard, ShardOwner owner) {
    owners.put(shard, Optional.of(owner));
    if (draining) {
      owner.release();
    }
  }

  private void forEachOwner(Consumer<ShardOwner> action) {
    ImmutableList.copyOf(owners.values()).stream().flatMap(Optional::stream).forEach(action);
  }

  @Override
  public void close() {
    draining = true;
    scanTimer.dispose();
    forEachOwner(ShardOwner::release);
  }
}
