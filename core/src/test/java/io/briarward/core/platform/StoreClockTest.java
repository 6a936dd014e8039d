package io.briarward.core.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.Range;
import java.util.Random;
import org.junit.jupiter.api.Test;

class StoreClockTest {
  private static final long OFFSET_MILLIS = 1_000_000;

  private final StoreClock clock = StoreClock.create();

  /** Adds a reading taken {@code readAfter} after the call and handled {@code handledAfter} it. */
  private void read(long sentAtMillis, long readAfterMillis, long handledAfterMillis) {
    clock.onReading(
        sentAtMillis,
        sentAtMillis + handledAfterMillis,
        sentAtMillis + readAfterMillis + OFFSET_MILLIS);
  }

  @Test
  void timeIsUnknownWithoutReading() {
    assertThat(clock.known()).isFalse();
    assertThrows(IllegalStateException.class, () -> clock.earliestMillis(0));
    assertThrows(IllegalStateException.class, () -> clock.latestMillis(0));
  }

  @Test
  void readingBoundsTimeFromBothSides() {
    read(0, 30, 100);
    assertThat(clock.earliestMillis(100)).isEqualTo(100 + OFFSET_MILLIS - 70 - 1);
    assertThat(clock.latestMillis(0)).isEqualTo(OFFSET_MILLIS + 30 + 1);
  }

  /** The estimate was computed from the last response only. */
  @Test
  void responseThatIsHandledLateDoesNotLowerTheEarliestTime() {
    read(0, 2, 4);
    long before = clock.earliestMillis(100);
    read(100, 10, 1_800);
    assertThat(clock.earliestMillis(1_900)).isAtLeast(before + 1_800 - 2);
    assertThat(clock.readingAgeMillis(1_900)).isIn(Range.closed(1_780L, 1_790L));
  }

  @Test
  void longWaitForResponseDoesNotRaiseTheLatestTime() {
    read(0, 2, 4);
    long before = clock.latestMillis(100);
    read(100, 1_500, 1_504);
    assertThat(clock.latestMillis(1_604)).isAtMost(before + 1_504 + 2);
  }

  @Test
  void readingAfterSuspensionReplacesTheBounds() {
    read(0, 2, 4);
    clock.onReading(100, 104, 102 + OFFSET_MILLIS + 5_000);
    assertThat(clock.earliestMillis(104)).isEqualTo(101 + OFFSET_MILLIS + 5_000);
    assertThat(clock.latestMillis(104)).isAtLeast(104 + OFFSET_MILLIS + 5_000);
  }

  @Test
  void readingOfClockThatWasSetBackReplacesTheBounds() {
    read(0, 2, 4);
    clock.onReading(100, 104, 102 + OFFSET_MILLIS - 5_000);
    assertThat(clock.earliestMillis(104)).isEqualTo(101 + OFFSET_MILLIS - 5_000);
  }

  @Test
  void boundsHoldForClocksThatDrift() {
    for (double rate : new double[] {0.9995, 1, 1.0005}) {
      Random random = new Random(31);
      StoreClock drifting = StoreClock.create();
      long nowMillis = 0;
      for (int i = 0; i < 20_000; i++) {
        long sentAtMillis = nowMillis;
        long readAtMillis = sentAtMillis + random.nextInt(1_500);
        nowMillis = readAtMillis + random.nextInt(random.nextInt(20) == 0 ? 2_000 : 5);
        drifting.onReading(sentAtMillis, nowMillis, (long) (readAtMillis * rate) + OFFSET_MILLIS);
        long storeMillis = (long) (nowMillis * rate) + OFFSET_MILLIS;
        assertThat(drifting.earliestMillis(nowMillis)).isAtMost(storeMillis);
        assertThat(drifting.earliestMillis(nowMillis)).isAtLeast(storeMillis - 2_010);
        assertThat(drifting.latestMillis(nowMillis)).isAtLeast(storeMillis);
        assertThat(drifting.latestMillis(nowMillis)).isAtMost(storeMillis + 1_510);
      }
    }
  }

  @Test
  void readingHandledBeforeItsCallIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> clock.onReading(10, 9, 0));
  }
}
