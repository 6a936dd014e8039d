package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.platform.CommitResult;
import java.util.Optional;

/**
 * Writes overdue copies to the table service, one transaction at a time.
 *
 * <p>Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class CopyFlusher {
  private static final long CHECK_MILLIS = 1_000;

  private final CopyHolder holder;
  private final FlushRunner runner;
  private long nextCheckMillis = Long.MIN_VALUE;

  private CopyFlusher(UsageSettings settings, CopyHolder holder) {
    this.holder = checkNotNull(holder, "holder");
    this.runner = FlushRunner.create(settings);
  }

  /** Returns a flusher of the copies in {@code holder}. */
  public static CopyFlusher create(UsageSettings settings, CopyHolder holder) {
    return new CopyFlusher(settings, holder);
  }

  /** Returns the next transaction, if one is due. */
  public Optional<StoreCommit> poll(long nowMillis) {
    if (runner.isIdle() && nowMillis >= nextCheckMillis) {
      Optional<UsageFlush> next = holder.due(nowMillis).stream().findFirst();
      next.ifPresentOrElse(runner::start, () -> nextCheckMillis = nowMillis + CHECK_MILLIS);
    }
    return runner.poll(nowMillis);
  }

  /** Handles the result of a commit. */
  public void onCommit(long operation, CommitResult result) {
    runner
        .onCommit(operation, result)
        .ifPresent(
            completed -> {
              holder.onFlushed(completed.flush());
              holder.forgetEmpty(completed.flush().incarnation());
            });
  }

  /** Handles a commit whose outcome is unknown or that was rejected temporarily. */
  public void onFailure(long operation, long nowMillis, long retryAfterMillis) {
    runner.onFailure(operation, nowMillis, retryAfterMillis);
  }
}
