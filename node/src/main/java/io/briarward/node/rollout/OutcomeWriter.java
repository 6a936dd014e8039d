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
 * Records complete groups, several in one object and one row.
 *
 * <p>While the platform's store does not answer, groups wait here and are recorded later.
 */
final class OutcomeWriter implements AutoCloseable {
  private static final int FLUSH_GROUPS = 8;
  private static final int MAX_GROUPS_PER_OUTCOME = 64;
  private static final long FLUSH_DELAY_MILLIS = 250;
  private static final long RETRY_MILLIS = 500;

  private final RolloutContext context;
  private final RolloutView view;
  private final String objectPrefix;
  private final List<RolloutPlanner.CompletedGroup> waiting = new ArrayList<>();
  private Disposable writing = Disposable.disposed();
  private long waitingSinceMillis;
  private int objects;

  /**
   * Creates a writer.
   *
   * @param objectPrefix unique over all writers that ever exist
   */
  OutcomeWriter(RolloutContext context, RolloutView view, String objectPrefix) {
    this.context = context;
    this.view = view;
    this.objectPrefix = objectPrefix;
  }

  void add(ImmutableList<RolloutPlanner.CompletedGroup> completed) {
    if (waiting.isEmpty()) {
      waitingSinceMillis = context.nowMillis();
    }
    waiting.addAll(completed);
  }

  boolean isIdle() {
    return waiting.isEmpty() && writing.isDisposed();
  }

  /** Writes what waits once it is enough or has waited long enough. */
  void flushIfDue() {
    boolean due =
        waiting.size() >= FLUSH_GROUPS
            || context.nowMillis() - waitingSinceMillis >= FLUSH_DELAY_MILLIS;
    if (!waiting.isEmpty() && due && writing.isDisposed()) {
      flush();
    }
  }

  private void flush() {
    objects++;
    String object = view.key().groupsObject(objectPrefix + "-" + objects);
    writing =
        write(object, takeBatch())
            .subscribe(
                () -> context.recorded().onNext(view.key()),
                cause -> Logger.error(cause, "groups of {} not recorded", view.key().rollout()));
  }

  private ImmutableList<RolloutPlanner.CompletedGroup> takeBatch() {
    int count = Math.min(waiting.size(), MAX_GROUPS_PER_OUTCOME);
    List<RolloutPlanner.CompletedGroup> first = waiting.subList(0, count);
    ImmutableList<RolloutPlanner.CompletedGroup> batch = ImmutableList.copyOf(first);
    first.clear();
    waitingSinceMillis = context.nowMillis();
    return batch;
  }

  private Completable write(String object, ImmutableList<RolloutPlanner.CompletedGroup> batch) {
    Outcome outcome = Outcome.of(object, batch);
    return context
        .store()
        .putGroups(
            object,
            batch.stream()
                .map(RolloutPlanner.CompletedGroup::result)
                .collect(ImmutableList.toImmutableList()))
        .andThen(Completable.defer(() -> record(outcome)))
        .retryWhen(
            errors -> errors.delay(RETRY_MILLIS, TimeUnit.MILLISECONDS, context.scheduler()));
  }

  /** Inserts the row until it is read back, so that a lost answer does no harm. */
  private Completable record(Outcome outcome) {
    if (view.isRecorded(outcome.object()) || view.header().cancelled()) {
      return Completable.complete();
    }
    return context
        .store()
        .commit(view.record(outcome))
        .ignoreElement()
        .andThen(context.store().refresh(view))
        .andThen(Completable.defer(() -> record(outcome)));
  }

  @Override
  public void close() {
    writing.dispose();
  }
}
