package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class InFlightWindowTest {
  private static final int SLOTS = 8;
  private static final double USUAL_MILLIS = 20;

  private final InFlightWindow window = new InFlightWindow();

  private void answerAll(int inFlight, double millis) {
    for (int i = 1; i <= inFlight; i++) {
      window.onSent(i);
    }
    for (int i = inFlight; i > 0; i--) {
      window.onAnswered(millis, USUAL_MILLIS, i, 0, SLOTS);
    }
  }

  private void grow() {
    for (int round = 0; round < 4; round++) {
      answerAll((int) window.size(), USUAL_MILLIS);
    }
  }

  /** Guards against nodes that all send many requests to an upstream they know nothing of. */
  @Test
  void newUpstreamGetsOneRequest() {
    assertThat(window.permits(0, false, 0)).isTrue();
    assertThat(window.permits(1, false, 0)).isFalse();
  }

  @Test
  void healthyUpstreamIsFullyUsedAfterFewRoundTrips() {
    grow();
    assertThat(window.isFull(SLOTS)).isTrue();
    assertThat(window.permits(SLOTS - 1, false, 0)).isTrue();
  }

  /** Guards against a window that grows while it is not used, and bounds nothing afterwards. */
  @Test
  void unusedWindowDoesNotGrow() {
    answerAll(1, USUAL_MILLIS);
    answerAll(2, USUAL_MILLIS);
    for (int i = 0; i < 1_000; i++) {
      answerAll(1, USUAL_MILLIS);
    }
    assertThat(window.size()).isLessThan((double) SLOTS);
  }

  @Test
  void rejectionsOfOneMomentHalveTheWindowOnce() {
    grow();
    double before = window.size();
    for (int i = 0; i < 4; i++) {
      window.onRejected(SLOTS, 0, USUAL_MILLIS, SLOTS, 1_000);
    }
    assertThat(window.size()).isEqualTo(Math.min(before, SLOTS) / 2);
    window.onRejected(SLOTS, 0, USUAL_MILLIS, SLOTS, 1_100);
    assertThat(window.size()).isEqualTo(Math.min(before, SLOTS) / 4);
  }

  /** Guards against an upstream that is idle again and gets nothing. */
  @Test
  void rejectionsHoldRequestsBackOnlyBriefly() {
    for (int i = 0; i < 20; i++) {
      window.onRejected(1, SLOTS, 5_000, SLOTS, 0);
    }
    assertThat(window.permits(0, false, 0)).isFalse();
    assertThat(window.permits(0, false, 100)).isTrue();
  }

  @Test
  void singleSlowResponseDoesNotShrinkTheWindow() {
    grow();
    double before = window.size();
    answerAll(1, 4 * USUAL_MILLIS);
    assertThat(window.size()).isAtLeast(before);
  }

  @Test
  void lastingSlownessShrinksTheWindow() {
    grow();
    for (int i = 0; i < 50; i++) {
      answerAll(1, 4 * USUAL_MILLIS);
    }
    assertThat(window.size()).isEqualTo(1);
  }

  @Test
  void waitingRequestsStopTheGrowth() {
    window.onAccepted(1, 1, SLOTS);
    assertThat(window.size()).isEqualTo(1);
    window.onAccepted(1, 0, SLOTS);
    assertThat(window.size()).isEqualTo(2);
    window.onAccepted(2, SLOTS, SLOTS);
    assertThat(window.size()).isLessThan(2.0);
  }

  /** Guards against every caller that waits for an upstream which does not respond. */
  @Test
  void oneRequestProbesAfterSilenceUntilOneIsAnswered() {
    window.onSilent(1, 1_000);
    assertThat(window.permits(0, false, 1_000)).isTrue();
    window.onSent(1);
    assertThat(window.permits(1, false, 60_000)).isFalse();
    assertThat(window.permits(1, true, 60_000)).isFalse();
    window.onAnswered(USUAL_MILLIS, USUAL_MILLIS, 1, 0, SLOTS);
    assertThat(window.permits(0, false, 60_000)).isTrue();
    assertThat(window.isSilent()).isFalse();
  }

  /** Guards against requests sent before a crash, each of whose ends would permit a probe. */
  @Test
  void endsOfEarlierRequestsPermitNoFurtherProbe() {
    grow();
    window.onSilent(4, 1_000);
    window.onSent(1);
    for (int inFlight = 4; inFlight > 1; inFlight--) {
      window.onSilent(inFlight, 1_001);
      assertThat(window.permits(inFlight, true, 2_000)).isFalse();
    }
    assertThat(window.size()).isEqualTo(1);
    window.onSilent(1, 1_300);
    assertThat(window.permits(0, true, 1_300)).isTrue();
    assertThat(window.permits(0, false, 1_300)).isFalse();
    assertThat(window.permits(0, false, 1_400)).isTrue();
  }

  /** Guards against a dead upstream that is never tried again once it has recovered. */
  @Test
  void pauseBetweenProbesIsBounded() {
    window.onSilent(1, 0);
    for (int i = 0; i < 50; i++) {
      window.onSent(1);
      window.onSilent(1, 0);
    }
    assertThat(window.permits(0, false, 999)).isFalse();
    assertThat(window.permits(0, false, 1_000)).isTrue();
  }

  @Test
  void releasedProbeAllowsAnother() {
    window.onSilent(1, 0);
    window.onSent(1);
    window.onReleased();
    assertThat(window.permits(0, false, 0)).isTrue();
  }
}
