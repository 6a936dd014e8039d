package io.briarward.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {
  private final SuspensionDetector detector = SuspensionDetector.create();

  @Test
  void equalClockRatesAreNotReported() {
    assertThat(detector.detectSuspension(0, 1_000_000)).isFalse();
    assertThat(detector.detectSuspension(9_000, 1_009_000)).isFalse();
  }

  @Test
  void wallClockAdvanceIsReportedOnce() {
    detector.detectSuspension(0, 1_000_000);
    assertThat(detector.detectSuspension(50, 1_004_050)).isTrue();
    assertThat(detector.detectSuspension(100, 1_004_100)).isFalse();
  }

  @Test
  void adjustmentsAndBackwardStepsAreNotReported() {
    detector.detectSuspension(0, 1_000_000);
    assertThat(detector.detectSuspension(50, 1_000_250)).isFalse();
    assertThat(detector.detectSuspension(100, 990_000)).isFalse();
  }
}
