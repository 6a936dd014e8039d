package io.briarward.node.timing;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Periodic actions and checks on a scheduler.
 *
 * <p>Actions run on the scheduler's threads. A tick that falls due while the action still runs is
 * dropped.
 */
public final class Timers {
  private Timers() {}

  /** Runs an action every {@code periodMillis}, first after one period, until disposed. */
  public static Disposable every(Scheduler scheduler, long periodMillis, Runnable action) {
    return start(scheduler, periodMillis, periodMillis, action);
  }

  /** Runs an action every {@code periodMillis}, first without delay, until disposed. */
  public static Disposable nowAndEvery(Scheduler scheduler, long periodMillis, Runnable action) {
    return start(scheduler, 0, periodMillis, action);
  }

  /**
   * Runs an action again and again until disposed, first after one period.
   *
   * @param periodMillis returns the time until the next run, asked after each run
   */
  public static Disposable repeatedly(
      Scheduler scheduler, LongSupplier periodMillis, Runnable action) {
    SerialDisposable next = new SerialDisposable();
    scheduleNext(scheduler, periodMillis, action, next);
    return next;
  }

  private static void scheduleNext(
      Scheduler scheduler, LongSupplier periodMillis, Runnable action, SerialDisposable next) {
    next.set(
        scheduler.scheduleDirect(
            () -> {
              runSafely(action);
              if (!next.isDisposed()) {
                scheduleNext(scheduler, periodMillis, action, next);
              }
            },
            periodMillis.getAsLong(),
            TimeUnit.MILLISECONDS));
  }

  private static Disposable start(
      Scheduler scheduler, long delayMillis, long periodMillis, Runnable action) {
    return Flowable.interval(delayMillis, periodMillis, TimeUnit.MILLISECONDS, scheduler)
        .onBackpressureDrop()
        .subscribe(unused -> runSafely(action));
  }

  /** Runs an action; an unexpected error is logged, since it would end the periodic action. */
  private static void runSafely(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      Logger.error(e, "a periodic action failed and is tried again at its next time");
    }
  }

  /** Completes once a condition holds, which is checked every {@code periodMillis}. */
  public static Completable until(
      Scheduler scheduler, long periodMillis, BooleanSupplier condition) {
    return Flowable.interval(periodMillis, TimeUnit.MILLISECONDS, scheduler)
        .takeUntil((Long unused) -> condition.getAsBoolean())
        .ignoreElements();
  }
}
