package io.briarward.node.timing;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class UptimeSchedulerTest {
  private final TestScheduler actions = new TestScheduler();
  private final List<Long> ticks = new ArrayList<>();
  private long timeOfDayOffsetMillis = 1_700_000_000_000L;
  private final UptimeScheduler scheduler =
      UptimeScheduler.over(
          actions,
          () -> actions.now(TimeUnit.NANOSECONDS),
          () -> actions.now(TimeUnit.MILLISECONDS) + timeOfDayOffsetMillis);

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }

  @Test
  void clockDoesNotFollowTimeOfDayThatIsSetBack() {
    long startMillis = nowMillis();
    actions.advanceTimeBy(1, TimeUnit.SECONDS);
    timeOfDayOffsetMillis -= 2_000;
    assertThat(nowMillis()).isEqualTo(startMillis + 1_000);
    actions.advanceTimeBy(1, TimeUnit.SECONDS);
    assertThat(nowMillis()).isEqualTo(startMillis + 2_000);
  }

  @Test
  void steadyClockDoesNotFollowTimeOfDayThatIsSetAhead() {
    long startMillis = scheduler.steadyMillis();
    timeOfDayOffsetMillis += 2_000;
    actions.advanceTimeBy(1, TimeUnit.SECONDS);
    assertThat(scheduler.steadyMillis()).isEqualTo(startMillis + 1_000);
  }

  /** Heartbeats paused for as long as the time of day was set back. */
  @Test
  void periodicActionsGoOnWhileTimeOfDayIsSetBack() {
    final Disposable timer = Timers.every(scheduler, 100, () -> ticks.add(nowMillis()));
    actions.advanceTimeBy(1, TimeUnit.SECONDS);
    timeOfDayOffsetMillis -= 2_000;
    actions.advanceTimeBy(1, TimeUnit.SECONDS);
    assertThat(ticks).hasSize(20);
    timer.dispose();
    actions.advanceTimeBy(1, TimeUnit.SECONDS);
    assertThat(ticks).hasSize(20);
  }

  @Test
  void workersHaveTheSameClock() {
    Scheduler.Worker worker = scheduler.createWorker();
    timeOfDayOffsetMillis -= 2_000;
    assertThat(worker.now(TimeUnit.MILLISECONDS)).isEqualTo(nowMillis());
    worker.schedule(() -> ticks.add(nowMillis()), 100, TimeUnit.MILLISECONDS);
    worker.dispose();
    actions.advanceTimeBy(1, TimeUnit.SECONDS);
    assertThat(worker.isDisposed()).isTrue();
    assertThat(ticks).isEmpty();
  }
}
