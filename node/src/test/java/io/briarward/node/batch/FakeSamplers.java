package io.briarward.node.batch;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import io.briarward.core.batch.SampleEvent;
import io.briarward.core.fleet.UpstreamNotice;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/** Samplers that stream scripted events in virtual time. */
final class FakeSamplers implements SamplerClient {
  private static final long RUN_MILLIS = 100;
  private static final int EVENTS_PER_RUN = 3;

  private final Scheduler scheduler;
  private final List<ItemCall> calls = new ArrayList<>();
  private final ListMultimap<String, Long> callTimesMillis = ArrayListMultimap.create();
  private Function<ItemCall, RunOutcome> outcomes = call -> RunOutcome.COMPLETE;
  private Optional<ToLongFunction<ItemCall>> gaps = Optional.empty();
  private Function<ItemCall, OptionalDouble> limits = call -> OptionalDouble.empty();
  private String eventSuffix = "";
  private int eventsWithGaps;
  private int running;

  FakeSamplers(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sets how each run ends; a broken run ends after its first event. */
  void setOutcomes(Function<ItemCall, RunOutcome> decision) {
    outcomes = decision;
  }

  /** Makes each run send {@code events} events, {@code gapMillis} apart, and then complete. */
  void setEventGaps(int events, ToLongFunction<ItemCall> gapMillis) {
    eventsWithGaps = events;
    gaps = Optional.of(gapMillis);
  }

  /** Sets the limit that the response to each call names. */
  void setLimits(Function<ItemCall, OptionalDouble> limitPerSecond) {
    limits = limitPerSecond;
  }

  /** Appends a text to each event of a run. */
  void setEventSuffix(String suffix) {
    eventSuffix = suffix;
  }

  List<ItemCall> calls() {
    return calls;
  }

  /** Returns when a sampler received its calls, in milliseconds of the virtual clock. */
  ImmutableList<Long> callTimesMillis(String samplerId) {
    return ImmutableList.copyOf(callTimesMillis.get(samplerId));
  }

  int running() {
    return running;
  }

  /** Returns the output of an item whose run completed. */
  static String output(String itemId) {
    return itemId + "-1\n" + itemId + "-2\n" + itemId + "-3";
  }

  @Override
  public Run run(ItemCall call, Listener listener) {
    calls.add(call);
    callTimesMillis.put(call.sampler().id(), scheduler.now(TimeUnit.MILLISECONDS));
    running++;
    Disposable end =
        gaps.isPresent()
            ? streamWithGaps(call, listener, gaps.get().applyAsLong(call))
            : scheduler.scheduleDirect(
                () -> finish(call, listener), RUN_MILLIS, TimeUnit.MILLISECONDS);
    return () -> {
      running--;
      end.dispose();
    };
  }

  private Disposable streamWithGaps(ItemCall call, Listener listener, long gapMillis) {
    long first = call.resumeAfter().orElse(0) + 1;
    listener.onNotice(new UpstreamNotice(false, limits.apply(call)));
    listener.onVersion(call.sampler().version("m"));
    return Flowable.intervalRange(
            first,
            eventsWithGaps - first + 1,
            gapMillis,
            gapMillis,
            TimeUnit.MILLISECONDS,
            scheduler)
        .subscribe(
            id -> listener.onEvent(new SampleEvent(id, OptionalLong.empty(), eventText(call, id))),
            error -> {
              throw new AssertionError(error);
            },
            () -> {
              running--;
              listener.onEnd(RunOutcome.COMPLETE, "");
            });
  }

  private String eventText(ItemCall call, long eventId) {
    return call.item().id() + "-" + eventId + eventSuffix;
  }

  private void finish(ItemCall call, Listener listener) {
    running--;
    RunOutcome outcome = outcomes.apply(call);
    listener.onNotice(new UpstreamNotice(false, limits.apply(call)));
    boolean streams = outcome == RunOutcome.COMPLETE || outcome == RunOutcome.BROKEN;
    if (streams && !listener.onVersion(call.sampler().version("m"))) {
      listener.onEnd(RunOutcome.NOT_RUN, "version");
      return;
    }
    long first = call.resumeAfter().orElse(0) + 1;
    long last = outcome == RunOutcome.COMPLETE ? EVENTS_PER_RUN : Math.min(first, EVENTS_PER_RUN);
    for (long id = first; streams && id <= last; id++) {
      listener.onEvent(new SampleEvent(id, OptionalLong.empty(), eventText(call, id)));
    }
    listener.onEnd(outcome, "scripted");
  }
}
