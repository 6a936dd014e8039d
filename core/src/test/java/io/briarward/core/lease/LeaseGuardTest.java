package io.briarward.core.lease;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LeaseGuardTest {
  private final LeaseGuard guard = new LeaseGuard("orders/nadi", 1, 10_000, 1_000);

  @Test
  void orderMayStartWhileRemainingTimeExceedsMargin() {
    assertThat(guard.mayStart(8_999)).isTrue();
  }

  @Test
  void orderMayNotStartWithinMargin() {
    assertThat(guard.mayStart(9_000)).isFalse();
    assertThat(guard.sendTimeoutMillis(9_000)).isEqualTo(0);
  }

  @Test
  void sendTimeoutEndsWithLease() {
    assertThat(guard.sendTimeoutMillis(7_000)).isEqualTo(3_000);
  }
}
