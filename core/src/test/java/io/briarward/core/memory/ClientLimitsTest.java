package io.briarward.core.memory;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ClientLimitsTest {
  private static final long MIB = 1 << 20;
  private static final int MAX_HEAD_BYTES = 32 << 10;

  @Test
  void limitsOfTheSmallestVmHoldManyRequestsOfTheUsualSize() {
    ClientLimits limits = ClientLimits.of(1, 96 * MIB, 3_075, MAX_HEAD_BYTES);
    assertThat(limits.maxConnections()).isEqualTo(768);
    assertThat(limits.maxHeldBytes() / ClientLimits.headCost(1_000, 20)).isAtLeast(500L);
  }

  /** Guards against descriptors that clients take from upstreams, other nodes and the store. */
  @Test
  void connectionsLeaveDescriptorsForTheProcess() {
    assertThat(ClientLimits.of(1, 1_024 * MIB, 600, MAX_HEAD_BYTES).maxConnections())
        .isEqualTo(240);
  }

  @Test
  void smallShareHoldsOneHeadOfTheMaximumSize() {
    ClientLimits limits = ClientLimits.of(0.05, 96 * MIB, 3_075, MAX_HEAD_BYTES);
    assertThat(limits.maxHeldBytes())
        .isAtLeast(ClientLimits.headCost(MAX_HEAD_BYTES, MAX_HEAD_BYTES / 3));
  }

  @Test
  void heapThatHoldsNoHeadOfTheMaximumSizeIsAnError() {
    IllegalArgumentException error =
        assertThrows(
            IllegalArgumentException.class,
            () -> ClientLimits.of(1, 24 * MIB, 3_075, MAX_HEAD_BYTES));
    assertThat(error).hasMessageThat().contains("raise the maximum heap size");
  }
}
