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
 * Takes open and lapsed shards and runs them.
 *
 * <p>The interval between scans grows with the number of nodes, so that all nodes together read at
 * a bounded rate.
 */
final class ShardOwners implements AutoCloseable {
  private static final long MIN_SCAN_MILLIS = 1_000;
  private static final long SCAN_MILLIS_PER_NODE = 20;
  private static final int MAX_SHARDS = 16;
  private static final int MAX_TAKEN_PER_SCAN = 2;
  private static final long IDLE_CHECK_MILLIS = 50;

  private final RolloutContext context;
  private final IntSupplier nodes;
  private final Random random;
  private final Map<String, Optional<ShardOwner>> owners = new HashMap<>();
  private Disposable scanning = Disposable.disposed();
  private String scannedTo = "";
  private boolean draining;

  private ShardOwners(RolloutContext context, IntSupplier nodes) {
    this.context = context;
    this.nodes = nodes;
    this.random = new Random(context.node().hashCode());
  }

  /**
   * Starts to look for shards.
   *
   * @param nodes the number of live nodes
   */
  static ShardOwners start(RolloutContext context, IntSupplier nodes) {
    ShardOwners owners = new ShardOwners(context, nodes);
    owners.scheduleScan();
    return owners;
  }

  /** Looks for shards at once, since a rollout was submitted here. */
  void rolloutSubmitted() {
    Disposable unused = scan().subscribe();
  }

  /** Takes no more shards; completes when every attempt has ended and is recorded. */
  Completable drain() {
    draining = true;
    scanning.dispose();
    forEachOwner(ShardOwner::drain);
    return Flowable.interval(0, IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
        .takeUntil((Long unused) -> isIdle())
        .ignoreElements();
  }

  private boolean isIdle() {
    return owners.values().stream().flatMap(Optional::stream).allMatch(ShardOwner::isIdle);
  }

  private void scheduleScan() {
    long intervalMillis = Math.max(MIN_SCAN_MILLIS, nodes.getAsInt() * SCAN_MILLIS_PER_NODE);
    long jitteredMillis = intervalMillis / 2 + random.nextInt((int) intervalMillis);
    scanning =
        Completable.timer(jitteredMillis, TimeUnit.MILLISECONDS, context.scheduler())
            .andThen(Completable.defer(this::scan))
            .subscribe(this::scheduleScan);
  }

  private Completable scan() {
    return context
        .store()
        .shards(scannedTo)
        .doOnSuccess(rows -> scannedTo = rows.isEmpty() ? "" : rows.get(rows.size() - 1).key())
        .flatMapCompletable(this::takeSome)
        .doOnError(e -> Logger.warn("shards not scanned: {}", e.getMessage()))
        .onErrorComplete();
  }

  private Completable takeSome(ImmutableList<Row> rows) {
    List<Row> shuffled = new ArrayList<>(rows);
    Collections.shuffle(shuffled, random);
    List<Completable> takes = new ArrayList<>();
    for (Row row : shuffled) {
      Optional<Transaction> take =
          ShardLease.take(row, context.node(), context.wallMillis().getAsLong());
      boolean wanted =
          !draining
              && takes.size() < MAX_TAKEN_PER_SCAN
              && owners.size() < MAX_SHARDS
              && !owners.containsKey(row.key());
      if (wanted && take.isPresent()) {
        takes.add(take(row, take.get()));
      }
    }
    return Completable.merge(takes);
  }

  private Completable take(Row row, Transaction transaction) {
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
        .doOnSuccess(owner -> started(row.key(), owner))
        .ignoreElement();
  }

  private void started(String shard, ShardOwner owner) {
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
    scanning.dispose();
    forEachOwner(ShardOwner::release);
  }
}
