package io.briarward.node.rollout;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.rollout.Delivery;
import io.briarward.core.rollout.DeliveryStep;
import io.briarward.core.rollout.GroupResult;
import io.briarward.core.rollout.GroupsAnswer;
import io.briarward.core.rollout.RolloutView;
import io.briarward.node.platform.PlatformException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.concurrent.TimeUnit;

/** Serves one request of a trainer for groups. */
final class GroupDelivery {
  private static final long POLL_INTERVAL_MILLIS = 500;
  private static final long RETRY_DELAY_MILLIS = 250;

  private final RolloutContext context;
  private final DeliveryUsage usage;
  private final RolloutView view;
  private final long cursor;
  private final String requestId;
  private final long deadlineMillis;

  /**
   * Creates a delivery.
   *
   * @param cursor the cursor of the last delivery that the trainer received
   * @param requestId unique to this request; stored with a delivery that the request commits
   * @param deadlineMillis when to respond without groups, on the monotonic clock
   */
  GroupDelivery(
      RolloutContext context,
      DeliveryUsage usage,
      RolloutView view,
      long cursor,
      String requestId,
      long deadlineMillis) {
    this.context = context;
    this.usage = usage;
    this.view = view;
    this.cursor = cursor;
    this.requestId = requestId;
    this.deadlineMillis = deadlineMillis;
  }

  /**
   * Returns the response; fails with the reason if the request can't be served.
   *
   * <p>Retries until the deadline while the platform's store is unavailable.
   */
  Single<GroupsAnswer> answer() {
    return refreshAndDecide().onErrorResumeNext(this::retryOrFail);
  }

  private Single<GroupsAnswer> refreshAndDecide() {
    return context
        .store()
        .refresh(view)
        .andThen(
            Single.defer(
                () -> decide(view.nextStep(cursor, requestId, context.wallMillis().getAsLong()))));
  }

  private Single<GroupsAnswer> retryOrFail(Throwable cause) {
    boolean shouldRetry =
        cause instanceof PlatformException
            && context.nowMillis() + RETRY_DELAY_MILLIS < deadlineMillis;
    return shouldRetry
        ? Completable.timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
            .andThen(Single.defer(this::answer))
        : Single.error(cause);
  }

  private Single<GroupsAnswer> decide(DeliveryStep step) {
    if (step instanceof DeliveryStep.Serve serve) {
      return serve(serve);
    }
    if (step instanceof DeliveryStep.Commit commit) {
      return commit(commit);
    }
    if (step instanceof DeliveryStep.Refused rejection) {
      return Single.error(rejection.failure().toException());
    }
    boolean done = step instanceof DeliveryStep.Finished;
    return done || context.nowMillis() >= deadlineMillis
        ? Single.just(emptyAnswer(done))
        : waitForGroups();
  }

  private GroupsAnswer emptyAnswer(boolean done) {
    return new GroupsAnswer(view.key().rollout(), cursor, done, ImmutableList.of());
  }

  private Single<GroupsAnswer> waitForGroups() {
    long waitMillis = Math.min(POLL_INTERVAL_MILLIS, deadlineMillis - context.nowMillis());
    return context
        .recorded()
        .filter(view.key()::equals)
        .map(key -> 0L)
        .mergeWith(Flowable.timer(waitMillis, TimeUnit.MILLISECONDS, context.scheduler()))
        .firstOrError()
        .flatMap(unused -> answer());
  }

  /** Fetches the samples first, so that their staleness is checked just before the response. */
  private Single<GroupsAnswer> serve(DeliveryStep.Serve serve) {
    return fetch(serve)
        .flatMap(
            objects ->
                context
                    .store()
                    .refreshProgress(view)
                    .andThen(Single.fromCallable(() -> toAnswer(recheck(serve), objects))));
  }

  private DeliveryStep.Serve recheck(DeliveryStep.Serve serve) {
    DeliveryStep again = view.nextStep(cursor, requestId, context.wallMillis().getAsLong());
    return again instanceof DeliveryStep.Serve rechecked ? rechecked : serve;
  }

  private Single<GroupsAnswer> commit(DeliveryStep.Commit commit) {
    return fetch(commit.serve())
        .flatMap(
            objects ->
                context
                    .store()
                    .commit(commit.transaction())
                    .doOnError(e -> usage.recordIfCommitted(view, commit))
                    .flatMap(
                        result ->
                            result.committed()
                                ? usage
                                    .record(view, commit.delivery())
                                    .andThen(Single.just(toAnswer(commit.serve(), objects)))
                                : Single.defer(this::answer)));
  }

  private Single<ImmutableMap<String, ImmutableList<GroupResult>>> fetch(DeliveryStep.Serve serve) {
    return Flowable.fromIterable(serve.groups())
        .filter(DeliveryStep.Entry::fresh)
        .map(entry -> entry.place().object())
        .distinct()
        .flatMapSingle(
            object -> context.store().groups(object).map(groups -> ImmutableMap.of(object, groups)))
        .collect(
            ImmutableMap::<String, ImmutableList<GroupResult>>builder,
            (builder, entry) -> builder.putAll(entry))
        .map(ImmutableMap.Builder::buildOrThrow);
  }

  private GroupsAnswer toAnswer(
      DeliveryStep.Serve serve, ImmutableMap<String, ImmutableList<GroupResult>> objects) {
    ImmutableList<GroupsAnswer.Delivered> groups =
        serve.groups().stream()
            .map(entry -> toDelivered(entry, objects))
            .collect(ImmutableList.toImmutableList());
    return new GroupsAnswer(view.key().rollout(), serve.cursor(), serve.done(), groups);
  }

  private static GroupsAnswer.Delivered toDelivered(
      DeliveryStep.Entry entry, ImmutableMap<String, ImmutableList<GroupResult>> objects) {
    Delivery.Place place = entry.place();
    return entry.fresh()
        ? GroupsAnswer.Delivered.fresh(objects.get(place.object()).get(place.position()))
        : GroupsAnswer.Delivered.expired(place.id());
  }
}
