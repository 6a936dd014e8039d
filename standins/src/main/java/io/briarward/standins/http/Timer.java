package io.briarward.standins.http;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import java.util.concurrent.TimeUnit;

/** The clock and the timers of a stand-in; scheduled actions run on its event loop. */
public final class Timer {
  private final Scheduler scheduler;
  private final Context context;
  private final long epochOffsetMillis;

  /**
   * Creates a timer.
   *
   * @param epochOffsetMillis the offset to add to the scheduler's time to get the time since the
   *     epoch
   */
  Timer(Scheduler scheduler, Context context, long epochOffsetMillis) {
    this.scheduler = scheduler;
    this.context = context;
    this.epochOffsetMillis = epochOffsetMillis;
  }

  /** Returns the current time in milliseconds since the epoch. */
  public long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS) + epochOffsetMillis;
  }

  /** Runs the action on the event loop after the delay. */
  public Disposable schedule(long delayMicros, Runnable action) {
    return scheduler.scheduleDirect(
        () -> context.runOnContext(unused -> action.run()), delayMicros, TimeUnit.MICROSECONDS);
  }

  /** Runs the action on the event loop after the delay. */
  public Disposable scheduleMillis(long delayMillis, Runnable action) {
    return schedule(TimeUnit.MILLISECONDS.toMicros(delayMillis), action);
  }
}
