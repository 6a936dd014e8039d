package io.briarward.node.timing;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Repeats actions on a scheduler's thread; ticks that come while an action runs are dropped. */
public final class Timers {
  private Timers() {}

  /** Runs an action each {@code periodMillis}, the first time after one period. */
  public static Disposable every(Scheduler scheduler, long periodMillis, Runnable action) {
    return start(scheduler, periodMillis, periodMillis, action);
  }

  /** Runs an action each {@code periodMillis}, the first time as soon as the scheduler can. */
  public static Disposable nowAndEvery(Scheduler scheduler, long periodMillis, Runnable action) {
    return start(scheduler, 0, periodMillis, action);
  }

  private static Disposable start(
      Scheduler scheduler, long delayMillis, long periodMillis, Runnable action) {
    return Flowable.interval(delayMillis, periodMillis, TimeUnit.MILLISECONDS, scheduler)
        .onBackpressureDrop()
        .subscribe(unused -> action.run());
  }

  /** Completes once a condition holds, which is looked at each {@code periodMillis}. */
  public static Completable until(
      Scheduler scheduler, long periodMillis, BooleanSupplier condition) {
    return Flowable.interval(periodMillis, TimeUnit.MILLISECONDS, scheduler)
        .takeUntil((Long unused) -> condition.getAsBoolean())
        .ignoreElements();
  }
}
