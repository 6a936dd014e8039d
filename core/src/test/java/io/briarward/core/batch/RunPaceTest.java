package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class RunPaceTest {
  /** Guards against a division by zero before any run has completed. */
  @Test
  void needIsZeroUntilRunCompletes() {
    RunPace pace = RunPace.create();
    assertThat(pace.neededMillis(pace.remainingTokens(500, 0))).isEqualTo(0);
    pace.onCompleted(0, 20, 1_000);
    assertThat(pace.neededMillis(pace.remainingTokens(500, 3))).isEqualTo(0);
    assertThrows(IllegalArgumentException.class, () -> pace.onCompleted(-1, 20, 1_000));
  }

  @Test
  void needFollowsTheRatioOfTimeAndEstimate() {
    RunPace pace = RunPace.create();
    pace.onCompleted(100, 50, 2_000);
    pace.onCompleted(300, 150, 6_000);
    assertThat(pace.neededMillis(pace.remainingTokens(100, 0))).isEqualTo(2_000);
    assertThat(pace.neededMillis(pace.remainingTokens(100, 25))).isEqualTo(1_000);
  }

  /** Guards against an item that exceeds its estimate counting as nearly complete for ever. */
  @Test
  void itemBeyondItsEstimateNeedsHalfAsMuchAgain() {
    RunPace pace = RunPace.create();
    pace.onCompleted(100, 100, 1_000);
    assertThat(pace.neededMillis(pace.remainingTokens(100, 100))).isEqualTo(500);
    assertThat(pace.neededMillis(pace.remainingTokens(100, 400))).isEqualTo(2_000);
  }

  /** Guards against a pace that holds on to a time when samplers were slow. */
  @Test
  void latestRunsCountMost() {
    RunPace pace = RunPace.create();
    pace.onCompleted(100, 100, 10_000);
    for (int i = 0; i < 200; i++) {
      pace.onCompleted(100, 100, 1_000);
    }
    assertThat(pace.millisPerToken()).isWithin(0.1).of(10);
  }
}
