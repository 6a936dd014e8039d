package io.briarward.node.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.core.rollout.Outcome;
import io.briarward.core.rollout.RolloutPlanner;
import io.briarward.core.rollout.RolloutView;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Records completed groups, several in one object and one row.
 *
 * <p>While the platform's store does not respond, groups are kept in memory and retried.
 */
final class OutcomeWriter implements AutoCloseable {
  private static final int FLUSH_THRESHOLD_GROUPS = 8;
  private static final int MAX_GROUPS_PER_OUTCOME = 64;
  private static final long FLUSH_DELAY_MILLIS = 250;
  private static final long RETRY_DELAY_MILLIS = 500;

  private final RolloutContext context;
  private final RolloutView view;
  private final String objectPrefix;
  private final List<RolloutPlanner.CompletedGroup> pending = new ArrayList<>();
  private Disposable writing = Disposable.disposed();
  private long pendingSinceMillis;
  private int objectCount;

  /**
   * Creates a writer.
   *
   * @param objectPrefix a prefix of object names, unique across all writers and restarts
   */
  OutcomeWriter(RolloutContext context, RolloutView view, String objectPrefix) {
    this.context = context;
    this.view = view;
    this.objectPrefix = objectPrefix;
  }

  void add(ImmutableList<RolloutPlanner.CompletedGroup> completed) {
    if (pending.isEmpty()) {
      pendingSinceMillis = context.nowMillis();
    }
    pending.addAll(completed);
  }

  boolean isIdle() {
    return pending.isEmpty() && writing.isDisposed();
  }

  /** Starts to write pending groups if there are enough or the oldest has waited long enough. */
  void flushIfDue() {
    boolean due =
        pending.size() >= FLUSH_THRESHOLD_GROUPS
            || context.nowMillis() - pendingSinceMillis >= FLUSH_DELAY_MILLIS;
    if (!pending.isEmpty() && due && writing.isDisposed()) {
      flush();
    }
  }

  private void flush() {
    objectCount++;
    String object = view.key().groupsObject(objectPrefix + "-" + objectCount);
    writing =
        write(object, takePending())
            .subscribe(
                () -> context.recorded().onNext(view.key()),
                cause ->
                    Logger.error(
                        cause, "failed to record groups of rollout {}", view.key().rollout()));
  }

  private ImmutableList<RolloutPlanner.CompletedGroup> takePending() {
    int count = Math.min(pending.size(), MAX_GROUPS_PER_OUTCOME);
    List<RolloutPlanner.CompletedGroup> first = pending.subList(0, count);
    ImmutableList<RolloutPlanner.CompletedGroup> groups = ImmutableList.copyOf(first);
    first.clear();
    pendingSinceMillis = context.nowMillis();
    return groups;
  }

  private Completable write(String object, ImmutableList<RolloutPlanner.CompletedGroup> groups) {
    Outcome outcome = Outcome.of(object, groups);
    return context
        .store()
        .putGroups(
            object,
            groups.stream()
                .map(RolloutPlanner.CompletedGroup::result)
                .collect(ImmutableList.toImmutableList()))
        .andThen(Completable.defer(() -> record(outcome)))
        .retryWhen(
            errors -> errors.delay(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, context.scheduler()));
  }

  /** Inserts the row unless it exists, so that a retry after a lost response is idempotent. */
  private Completable record(Outcome outcome) {
    return context.store().refreshOutcomes(view).andThen(Completable.defer(() -> insert(outcome)));
  }

  private Completable insert(Outcome outcome) {
    if (view.isRecorded(outcome.object()) || view.header().cancelled()) {
      return Completable.complete();
    }
    return context
        .store()
        .commit(view.record(outcome))
        .flatMapCompletable(
            result ->
                result.committed()
                    ? Completable.complete()
                    : context
                        .store()
                        .refresh(view)
                        .andThen(Completable.defer(() -> insert(outcome))));
  }

  @Override
  public void close() {
    writing.dispose();
  }
}
