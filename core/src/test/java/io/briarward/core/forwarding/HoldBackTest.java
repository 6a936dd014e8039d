package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.briarward.core.memory.ByteBudget;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HoldBackTest {
  private static final long MAX_BYTES = 256 << 10;
  private static final long BUDGET_BYTES = 1 << 20;
  private static final long SHORT_BYTES = 4 << 10;

  private final ByteBudget budget = ByteBudget.of(BUDGET_BYTES);

  @Test
  void responseIsHeldUpToItsOwnLimit() {
    HoldBack held = HoldBack.of(budget, MAX_BYTES);
    assertThat(held.hold(MAX_BYTES)).isTrue();
    assertThat(held.hold(MAX_BYTES + 1)).isFalse();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  @Test
  void nothingIsHeldOnceTheResponseIsPassedOn() {
    HoldBack held = HoldBack.of(budget, MAX_BYTES);
    assertThat(held.hold(MAX_BYTES + 1)).isFalse();
    assertThat(held.hold(1)).isFalse();
  }

  @Test
  void nothingIsHeldWithoutLimit() {
    assertThat(HoldBack.of(budget, 0).hold(1)).isFalse();
    assertThrows(IllegalArgumentException.class, () -> HoldBack.of(budget, -1));
  }

  /** Many servers that send bytes without end at once used up the memory of the process. */
  @Test
  void responsesOfAllRequestsStayWithinTheBudget() {
    List<HoldBack> all = new ArrayList<>();
    int stillHeld = 0;
    for (int i = 0; i < 1_000; i++) {
      HoldBack held = HoldBack.of(budget, MAX_BYTES);
      all.add(held);
      stillHeld += held.hold(MAX_BYTES) ? 1 : 0;
      assertThat(budget.heldBytes()).isAtMost(BUDGET_BYTES);
    }
    assertThat(stillHeld).isEqualTo(4);
    all.forEach(HoldBack::close);
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  @Test
  void shortResponsesAreHeldWhileTheBudgetIsUsedUp() {
    while (HoldBack.of(budget, MAX_BYTES).hold(MAX_BYTES)) {
      assertThat(budget.heldBytes()).isAtMost(BUDGET_BYTES);
    }
    assertThat(HoldBack.of(budget, MAX_BYTES).hold(SHORT_BYTES)).isTrue();
  }
}
