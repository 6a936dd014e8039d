package io.briarward.node.timing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.briarward.core.time.UptimeClock;
import io.reactivex.rxjava3.annotations.NonNull;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A scheduler that runs actions on another one and has an {@link UptimeClock}.
 *
 * <p>The schedulers of RxJava read the time of day, which may be set ahead or back at any moment.
 * Thread-safe.
 */
public final class UptimeScheduler extends Scheduler {
  private final Scheduler actions;
  private final LongSupplier steadyNanos;
  private final LongSupplier timeOfDayMillis;

  @GuardedBy("this")
  private final UptimeClock clock = UptimeClock.create();

  private UptimeScheduler(
      Scheduler actions, LongSupplier steadyNanos, LongSupplier timeOfDayMillis) {
    this.actions = checkNotNull(actions, "actions");
    this.steadyNanos = checkNotNull(steadyNanos, "steadyNanos");
    this.timeOfDayMillis = checkNotNull(timeOfDayMillis, "timeOfDayMillis");
  }

  /** Returns a scheduler that runs its actions on {@code actions}, with the clocks of the VM. */
  public static UptimeScheduler over(Scheduler actions) {
    return over(actions, System::nanoTime, System::currentTimeMillis);
  }

  /**
   * Returns a scheduler that runs its actions on {@code actions}.
   *
   * @param steadyNanos the steady clock, in nanoseconds
   * @param timeOfDayMillis the time of day, in milliseconds
   */
  public static UptimeScheduler over(
      Scheduler actions, LongSupplier steadyNanos, LongSupplier timeOfDayMillis) {
    return new UptimeScheduler(actions, steadyNanos, timeOfDayMillis);
  }

  /**
   * Returns the steady clock, in milliseconds from an arbitrary origin.
   *
   * <p>It is never ahead of the time that has passed, but does not count suspensions.
   */
  public long steadyMillis() {
    return TimeUnit.NANOSECONDS.toMillis(steadyNanos.getAsLong());
  }

  @Override
  public synchronized long now(@NonNull TimeUnit unit) {
    long nowMillis = clock.read(steadyMillis(), timeOfDayMillis.getAsLong());
    return unit.convert(nowMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public Disposable scheduleDirect(@NonNull Runnable run) {
    return actions.scheduleDirect(run);
  }

  @Override
  public Disposable scheduleDirect(@NonNull Runnable run, long delay, @NonNull TimeUnit unit) {
    return actions.scheduleDirect(run, delay, unit);
  }

  @Override
  public Worker createWorker() {
    Worker worker = actions.createWorker();
    return new Worker() {
      @Override
      public Disposable schedule(@NonNull Runnable run) {
        return worker.schedule(run);
      }

      @Override
      public Disposable schedule(@NonNull Runnable run, long delay, @NonNull TimeUnit unit) {
        return worker.schedule(run, delay, unit);
      }

      @Override
      public long now(@NonNull TimeUnit unit) {
        return UptimeScheduler.this.now(unit);
      }

      @Override
      public void dispose() {
        worker.dispose();
      }

      @Override
      public boolean isDisposed() {
        return worker.isDisposed();
      }
    };
  }
}
