package io.briarward.node.batch;

import io.briarward.core.batch.SampleEvent;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
  private Function<ItemCall, Ending> endings = call -> Ending.COMPLETE;
  private Optional<ToLongFunction<ItemCall>> gaps = Optional.empty();
  private int eventsWithGaps;
  private int running;

  FakeSamplers(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sets how each run ends; a broken run ends after its first event. */
  void setEndings(Function<ItemCall, Ending> decision) {
    endings = decision;
  }

  /** Makes each run send {@code events} events, {@code gapMillis} apart, and then complete. */
  void setEventGaps(int events, ToLongFunction<ItemCall> gapMillis) {
    eventsWithGaps = events;
    gaps = Optional.of(gapMillis);
  }

  List<ItemCall> calls() {
    return calls;
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
    listener.onVersion(call.sampler().version("m"));
    return Flowable.intervalRange(
            first,
            eventsWithGaps - first + 1,
            gapMillis,
            gapMillis,
            TimeUnit.MILLISECONDS,
            scheduler)
        .subscribe(
            id ->
                listener.onEvent(
                    new SampleEvent(id, OptionalLong.empty(), call.item().id() + "-" + id)),
            error -> {
              throw new AssertionError(error);
            },
            () -> {
              running--;
              listener.onEnd(Ending.COMPLETE, "");
            });
  }

  private void finish(ItemCall call, Listener listener) {
    running--;
    Ending ending = endings.apply(call);
    boolean streams = ending == Ending.COMPLETE || ending == Ending.BROKEN;
    if (streams && !listener.onVersion(call.sampler().version("m"))) {
      listener.onEnd(Ending.NOT_RUN, "version");
      return;
    }
    long first = call.resumeAfter().orElse(0) + 1;
    long last = ending == Ending.COMPLETE ? EVENTS_PER_RUN : Math.min(first, EVENTS_PER_RUN);
    for (long id = first; streams && id <= last; id++) {
      listener.onEvent(new SampleEvent(id, OptionalLong.empty(), call.item().id() + "-" + id));
    }
    listener.onEnd(ending, "scripted");
  }
}
