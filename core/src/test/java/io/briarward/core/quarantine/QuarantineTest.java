package io.briarward.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class QuarantineTest {
  private static final RequestFingerprint REQUEST = fingerprint("/l/7");

  private final Quarantine quarantine = Quarantine.create();

  private static RequestFingerprint fingerprint(String uri) {
    return RequestFingerprint.of(Optional.empty(), "POST", "mill.example", uri, new byte[0]);
  }

  private void crash(String upstream, long atMillis) {
    quarantine.add(new Quarantine.Crash(REQUEST, upstream), atMillis);
  }

  @Test
  void requestIsQuarantinedOnceThreeUpstreamsEndedUnderIt() {
    crash("a/1", 0);
    crash("b/1", 0);
    assertThat(quarantine.contains(REQUEST, 0)).isFalse();
    crash("c/1", 10);
    assertThat(quarantine.contains(REQUEST, 10)).isTrue();
    assertThat(quarantine.contains(fingerprint("/l/8"), 10)).isFalse();
  }

  @Test
  void crashOfOneInstanceCountsOnce() {
    assertThat(quarantine.add(new Quarantine.Crash(REQUEST, "a/1"), 0)).isTrue();
    assertThat(quarantine.add(new Quarantine.Crash(REQUEST, "a/1"), 5)).isFalse();
    crash("a/2", 10);
    assertThat(quarantine.contains(REQUEST, 10)).isFalse();
    crash("a/3", 20);
    assertThat(quarantine.contains(REQUEST, 20)).isTrue();
  }

  @Test
  void removedCrashesNoLongerCount() {
    crash("a/1", 0);
    crash("b/1", 0);
    crash("c/1", 0);
    quarantine.crashes(REQUEST).forEach(quarantine::remove);
    assertThat(quarantine.contains(REQUEST, 0)).isFalse();
    assertThat(quarantine.isEmpty()).isTrue();
  }

  @Test
  void crashesExpire() {
    crash("a/1", 0);
    crash("b/1", 0);
    crash("c/1", 1_000);
    assertThat(quarantine.contains(REQUEST, Quarantine.RETENTION_MILLIS - 1)).isTrue();
    assertThat(quarantine.contains(REQUEST, Quarantine.RETENTION_MILLIS)).isFalse();
    assertThat(quarantine.expired(Quarantine.RETENTION_MILLIS)).hasSize(2);
  }

  @Test
  void memoryIsBounded() {
    assertThat(quarantine.isFull()).isFalse();
    for (int i = 0; i < 20_000; i++) {
      quarantine.add(new Quarantine.Crash(fingerprint("/l/" + i), "a/1"), i);
    }
    assertThat(quarantine.isFull()).isTrue();
    assertThat(quarantine.crashes(fingerprint("/l/0"))).isEmpty();
    assertThat(quarantine.crashes(fingerprint("/l/19999"))).hasSize(1);
  }

  @Test
  void quarantinedRequestMayBeTriedThreeTimesAtGrowingIntervals() {
    long nowMillis = 0;
    for (int i = 0; i < Quarantine.MAX_CRASHES; i++) {
      crash("a/" + i, nowMillis);
      assertThat(quarantine.isTrialDue(REQUEST, nowMillis)).isFalse();
    }
    for (long delayMillis : new long[] {30_000, 90_000, 270_000}) {
      assertThat(quarantine.isTrialDue(REQUEST, nowMillis + delayMillis - 1)).isFalse();
      nowMillis += delayMillis;
      assertThat(quarantine.isTrialDue(REQUEST, nowMillis)).isTrue();
      if (delayMillis < 270_000) {
        crash("b/" + delayMillis, nowMillis);
      }
    }
  }

  @Test
  void requestThatEndedSixUpstreamsIsNotTried() {
    for (int i = 0; i < Quarantine.MAX_CRASHES + Quarantine.MAX_TRIALS; i++) {
      crash("a/" + i, 0);
    }
    assertThat(quarantine.isTrialDue(REQUEST, Quarantine.RETENTION_MILLIS - 1)).isFalse();
  }

  @Test
  void trialWithoutKnownEndDelaysTheNext() {
    for (int i = 0; i < Quarantine.MAX_CRASHES; i++) {
      crash("a/" + i, 0);
    }
    quarantine.onTrial(REQUEST, 40_000);
    assertThat(quarantine.isTrialDue(REQUEST, 69_999)).isFalse();
    assertThat(quarantine.isTrialDue(REQUEST, 70_000)).isTrue();
  }
}
