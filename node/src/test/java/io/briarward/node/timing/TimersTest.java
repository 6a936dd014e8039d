package io.briarward.node.timing;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class TimersTest {
  private final TestScheduler scheduler = new TestScheduler();
  private final AtomicInteger runs = new AtomicInteger();

  private void advance(long millis) {
    scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
  }

  @Test
  void everyRunsFirstAfterOnePeriodAndNotAfterDisposal() {
    final Disposable timer = Timers.every(scheduler, 50, runs::incrementAndGet);
    advance(49);
    assertThat(runs.get()).isEqualTo(0);
    advance(51);
    assertThat(runs.get()).isEqualTo(2);
    timer.dispose();
    advance(100);
    assertThat(runs.get()).isEqualTo(2);
  }

  @Test
  void repeatedlyAsksForThePeriodAfterEachRunAndEndsWithDisposal() {
    final AtomicInteger periodMillis = new AtomicInteger(50);
    final Disposable timer = Timers.repeatedly(scheduler, periodMillis::get, runs::incrementAndGet);
    advance(50);
    assertThat(runs.get()).isEqualTo(1);
    periodMillis.set(10);
    advance(50);
    assertThat(runs.get()).isEqualTo(2);
    advance(10);
    assertThat(runs.get()).isEqualTo(3);
    timer.dispose();
    advance(100);
    assertThat(runs.get()).isEqualTo(3);
  }

  @Test
  void actionThatFailsRunsAgain() {
    var unused =
        Timers.every(
            scheduler,
            50,
            () -> {
              if (runs.incrementAndGet() == 1) {
                throw new IllegalStateException("first run");
              }
            });
    advance(150);
    assertThat(runs.get()).isEqualTo(3);
  }

  @Test
  void nowAndEveryRunsFirstWithoutDelay() {
    var unused = Timers.nowAndEvery(scheduler, 50, runs::incrementAndGet);
    scheduler.triggerActions();
    assertThat(runs.get()).isEqualTo(1);
    advance(50);
    assertThat(runs.get()).isEqualTo(2);
  }

  @Test
  void untilCompletesOnceConditionHolds() {
    TestObserver<Void> completion = Timers.until(scheduler, 50, () -> runs.get() > 0).test();
    advance(100);
    completion.assertNotComplete();
    runs.set(1);
    advance(50);
    completion.assertComplete();
  }
}
