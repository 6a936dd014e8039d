package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against nodes that together read a table as often as the store responds. */
final class FeedPauseTest {
  /** How long the store takes to respond to a read, in milliseconds. */
  private static final double RESPONSE_MILLIS = 4;

  @Test
  void fewNodesReadOnAlmostAtOnce() {
    assertThat(FeedPause.ofNodesMillis(1)).isEqualTo(20);
    assertThat(FeedPause.ofNodesMillis(9)).isLessThan(50L);
  }

  @Test
  void hundredNodesReadLittleMoreThanTen() {
    for (int nodes = 1; nodes <= 100; nodes++) {
      double readsPerSecond = nodes * 1_000 / (FeedPause.ofNodesMillis(nodes) + RESPONSE_MILLIS);
      assertThat(readsPerSecond).isAtMost(340);
    }
  }

  @Test
  void changeIsReadWithinThirdOfSecondWithThousandNodes() {
    assertThat(FeedPause.ofNodesMillis(1_000)).isEqualTo(300);
  }

  @Test
  void rejectsDeploymentWithoutNodes() {
    assertThrows(IllegalArgumentException.class, () -> FeedPause.ofNodesMillis(0));
  }
}
