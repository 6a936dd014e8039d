package io.briarward.core.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class BodyBudgetTest {
  private static final int MAX_SHORT_BYTES = 10;
  private static final long SHORT_BYTES = 30;
  private static final long LONG_BYTES = 100;

  private final BodyBudget budget = BodyBudget.of(MAX_SHORT_BYTES, SHORT_BYTES, LONG_BYTES);

  @Test
  void longBodyIsRejectedWhileAnotherTakesTheRoomAndShortOnesAreAdmitted() {
    BodyBudget.Share first = budget.open();
    assertThat(first.admit(LONG_BYTES)).isTrue();
    assertThat(budget.open().admit(11)).isFalse();
    assertThat(budget.open().admit(10)).isTrue();
    first.close();
    assertThat(budget.open().admit(11)).isTrue();
  }

  @Test
  void shortBodiesDoNotTakeTheRoomOfLongOnes() {
    for (int i = 0; i < 3; i++) {
      assertThat(budget.open().admit(10)).isTrue();
    }
    assertThat(budget.open().admit(1)).isFalse();
    assertThat(budget.open().admit(LONG_BYTES)).isTrue();
  }

  @Test
  void bodyThatGrowsIsCountedOnce() {
    BodyBudget.Share share = budget.open();
    for (int bytes = 0; bytes <= LONG_BYTES; bytes++) {
      assertThat(share.admit(bytes)).isTrue();
      assertThat(budget.heldBytes()).isEqualTo(bytes);
    }
    assertThat(share.admit(LONG_BYTES + 1)).isFalse();
  }

  @Test
  void announcedBodyIsCountedWholeAtOnce() {
    BodyBudget.Share share = budget.open();
    assertThat(share.admit(90)).isTrue();
    assertThat(share.admit(1)).isTrue();
    assertThat(budget.heldBytes()).isEqualTo(90);
  }

  @Test
  void closedShareAdmitsNothing() {
    BodyBudget.Share share = budget.open();
    assertThat(share.admit(5)).isTrue();
    share.close();
    share.close();
    assertThat(share.admit(1)).isFalse();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  @Property(seed = "3103", tries = 2_000)
  void bodiesTogetherStayWithinTheBudget(@ForAll long seed) {
    Random random = new Random(seed);
    BodyBudget shared = BodyBudget.of(MAX_SHORT_BYTES, SHORT_BYTES, LONG_BYTES);
    List<BodyBudget.Share> shares = new ArrayList<>();
    List<Long> admitted = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      if (shares.isEmpty() || random.nextInt(3) == 0) {
        shares.add(shared.open());
        admitted.add(0L);
      }
      int index = random.nextInt(shares.size());
      long bytes = random.nextInt(random.nextBoolean() ? 11 : 120);
      if (shares.get(index).admit(bytes)) {
        admitted.set(index, Math.max(bytes, admitted.get(index)));
      }
      if (random.nextInt(4) == 0) {
        shares.remove(index).close();
        admitted.remove(index);
      }
      assertThat(shared.heldBytes()).isEqualTo(admitted.stream().mapToLong(Long::longValue).sum());
      assertThat(shared.heldBytes()).isAtMost(SHORT_BYTES + LONG_BYTES);
    }
  }
}
