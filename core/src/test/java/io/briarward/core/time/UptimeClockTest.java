package io.briarward.core.time;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class UptimeClockTest {
  private static final long START_MILLIS = 1_700_000_000_000L;

  private final UptimeClock clock = UptimeClock.create();

  @Test
  void startsAtTheTimeOfDayAndAdvancesWithBothClocks() {
    assertThat(clock.read(-500, START_MILLIS)).isEqualTo(START_MILLIS);
    assertThat(clock.read(-400, START_MILLIS + 100)).isEqualTo(START_MILLIS + 100);
  }

  /** The steady clock stands still meanwhile; a lease would seem valid for too long. */
  @Test
  void suspensionIsCounted() {
    clock.read(0, START_MILLIS);
    assertThat(clock.read(10, START_MILLIS + 5_010)).isEqualTo(START_MILLIS + 5_010);
    assertThat(clock.read(20, START_MILLIS + 5_020)).isEqualTo(START_MILLIS + 5_020);
  }

  /** A clock that goes back prolongs every lease and wait by the size of the step. */
  @Test
  void timeOfDayThatIsSetBackIsIgnored() {
    clock.read(0, START_MILLIS);
    assertThat(clock.read(100, START_MILLIS - 1_900)).isEqualTo(START_MILLIS + 100);
    assertThat(clock.read(200, START_MILLIS - 1_800)).isEqualTo(START_MILLIS + 200);
  }

  @Test
  void suspensionIsCountedAfterTheTimeOfDayWasSetBack() {
    clock.read(0, START_MILLIS);
    clock.read(100, START_MILLIS - 1_900);
    assertThat(clock.read(110, START_MILLIS - 890)).isEqualTo(START_MILLIS + 1_110);
  }

  @Test
  void roundingOfFrequentReadingsDoesNotAddUp() {
    Random random = new Random(5);
    long nowMicros = 0;
    clock.read(0, START_MILLIS);
    for (int i = 0; i < 100_000; i++) {
      nowMicros += random.nextInt(600);
      long steadyMillis = nowMicros / 1_000;
      long timeOfDayMillis = START_MILLIS + (nowMicros + random.nextInt(1_000)) / 1_000;
      assertThat(clock.read(steadyMillis, timeOfDayMillis)).isEqualTo(START_MILLIS + steadyMillis);
    }
  }

  @Test
  void timeNeverGoesBack() {
    Random random = new Random(6);
    long steadyMillis = 0;
    long offsetMillis = START_MILLIS;
    long last = Long.MIN_VALUE;
    for (int i = 0; i < 10_000; i++) {
      steadyMillis += random.nextInt(20);
      offsetMillis += random.nextInt(20) == 0 ? random.nextInt(4_000) - 2_000 : 0;
      long now = clock.read(steadyMillis, steadyMillis + offsetMillis);
      assertThat(now).isAtLeast(last);
      last = now;
    }
  }
}
