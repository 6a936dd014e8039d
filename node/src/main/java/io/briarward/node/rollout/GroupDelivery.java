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

/** Answers one question of a trainer for groups. */
final class GroupDelivery {
  private static final long POLL_MILLIS = 500;
  private static final long RETRY_MILLIS = 250;

  private final RolloutContext context;
  private final DeliveryUsage usage;
  private final RolloutView view;
  private final long cursor;
  private final String name;
  private final long untilMillis;

  /**
   * Creates a delivery.
   *
   * @param cursor the last delivery that the trainer has received
   * @param name unique to this question, recorded with a delivery that it fixes
   * @param untilMillis when to answer without groups, by the monotonic clock
   */
  GroupDelivery(
      RolloutContext context,
      DeliveryUsage usage,
      RolloutView view,
      long cursor,
      String name,
      long untilMillis) {
    this.context = context;
    this.usage = usage;
    this.view = view;
    this.cursor = cursor;
    this.name = name;
    this.untilMillis = untilMillis;
  }

  /** Returns the answer; fails with the reason when there can be none. */
  Single<GroupsAnswer> answer() {
    return refreshed().onErrorResumeNext(this::retry);
  }

  private Single<GroupsAnswer> refreshed() {
    return context
        .store()
        .refresh(view)
        .andThen(
            Single.defer(
                () -> decide(view.nextStep(cursor, name, context.wallMillis().getAsLong()))));
  }

  private Single<GroupsAnswer> retry(Throwable cause) {
    boolean worthwhile =
        cause instanceof PlatformException && context.nowMillis() + RETRY_MILLIS < untilMillis;
    return worthwhile
        ? Completable.timer(RETRY_MILLIS, TimeUnit.MILLISECONDS, context.scheduler())
            .andThen(Single.defer(this::answer))
        : Single.error(cause);
  }

  private Single<GroupsAnswer> decide(DeliveryStep step) {
    if (step instanceof DeliveryStep.Serve serve) {
      return serveAgain(serve);
    }
    if (step instanceof DeliveryStep.Commit commit) {
      return commit(commit);
    }
    if (step instanceof DeliveryStep.Refused refused) {
      return Single.error(refused.failure().toException());
    }
    boolean done = step instanceof DeliveryStep.Finished;
    return done || context.nowMillis() >= untilMillis
        ? Single.just(nothingNew(done))
        : waitForGroups();
  }

  private GroupsAnswer nothingNew(boolean done) {
    return new GroupsAnswer(view.key().rollout(), cursor, done, ImmutableList.of());
  }

  private Single<GroupsAnswer> waitForGroups() {
    long waitMillis = Math.min(POLL_MILLIS, untilMillis - context.nowMillis());
    return context
        .recorded()
        .filter(view.key()::equals)
        .map(key -> 0L)
        .mergeWith(Flowable.timer(waitMillis, TimeUnit.MILLISECONDS, context.scheduler()))
        .firstOrError()
        .flatMap(unused -> answer());
  }

  /** Fetches the samples first, so that the age is checked right before they go out. */
  private Single<GroupsAnswer> serveAgain(DeliveryStep.Serve serve) {
    return fetch(serve)
        .flatMap(
            objects ->
                context
                    .store()
                    .refreshProgress(view)
                    .andThen(Single.fromCallable(() -> toAnswer(recheck(serve), objects))));
  }

  private DeliveryStep.Serve recheck(DeliveryStep.Serve serve) {
    DeliveryStep again = view.nextStep(cursor, name, context.wallMillis().getAsLong());
    return again instanceof DeliveryStep.Serve rechecked ? rechecked : serve;
  }

  private Single<GroupsAnswer> commit(DeliveryStep.Commit commit) {
    return fetch(commit.serve())
        .flatMap(
            objects ->
                context
                    .store()
                    .commit(commit.transaction())
                    .doOnError(e -> usage.resolve(view, commit))
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
