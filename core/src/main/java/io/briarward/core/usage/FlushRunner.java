package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkState;

import io.briarward.core.lease.OperationTracker;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.Optional;

/** Retries a {@link UsageFlush} until it is committed. Not thread-safe. */
final class FlushRunner {
  private final OperationTracker operations;
  private Optional<UsageFlush> current = Optional.empty();

  private FlushRunner(UsageSettings settings) {
    this.operations = OperationTracker.create(settings.requestTimeoutMillis(), settings.backoff());
  }

  static FlushRunner create(UsageSettings settings) {
    return new FlushRunner(settings);
  }

  /** A completed flush, with the row's new version or 0 if no counters were written. */
  record CompletedFlush(UsageFlush flush, long rowVersion) {}

  boolean isIdle() {
    return current.isEmpty();
  }

  void start(UsageFlush flush) {
    checkState(isIdle(), "a flush is already in progress");
    current = Optional.of(flush);
  }

  Optional<StoreCommit> poll(long nowMillis) {
    operations.expire(nowMillis);
    if (isIdle() || !operations.ready(nowMillis)) {
      return Optional.empty();
    }
    long operation = operations.begin(nowMillis);
    return Optional.of(new StoreCommit(operation, current.get().transaction()));
  }

  Optional<CompletedFlush> onCommit(long operation, CommitResult result) {
    if (!operations.accept(operation)) {
      return Optional.empty();
    }
    UsageFlush flush = current.orElseThrow();
    if (result instanceof CommitResult.Committed committed) {
      RowKey key = UsageTables.usage(flush.windowStartMillis(), flush.incarnation());
      return finish(flush, committed.versions().getOrDefault(key, Transaction.ABSENT));
    }
    current = flush.afterConflict((CommitResult.Conflict) result);
    return current.isPresent() ? Optional.empty() : finish(flush, Transaction.ABSENT);
  }

  void onFailure(long operation, long nowMillis, long retryAfterMillis) {
    operations.fail(operation, nowMillis, retryAfterMillis);
  }

  private Optional<CompletedFlush> finish(UsageFlush flush, long rowVersion) {
    current = Optional.empty();
    return Optional.of(new CompletedFlush(flush, rowVersion));
  }
}
