package io.briarward.core.memory;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ByteBudgetTest {
  private static final long MAX_BYTES = 100;

  private final ByteBudget budget = ByteBudget.of(MAX_BYTES);

  @Test
  void requestThatDoesNotFitIsRejectedAndKeepsWhatIsHeld() {
    ByteBudget.Share first = budget.open();
    ByteBudget.Share second = budget.open();
    assertThat(first.resize(60)).isTrue();
    assertThat(second.resize(30)).isTrue();
    assertThat(second.resize(41)).isFalse();
    assertThat(second.bytes()).isEqualTo(30);
    assertThat(second.resize(40)).isTrue();
    assertThat(budget.heldBytes()).isEqualTo(MAX_BYTES);
  }

  @Test
  void closedShareGivesItsBytesBackOnce() {
    ByteBudget.Share first = budget.open();
    assertThat(first.resize(MAX_BYTES)).isTrue();
    first.close();
    first.close();
    assertThat(budget.heldBytes()).isEqualTo(0);
    assertThat(budget.open().resize(MAX_BYTES)).isTrue();
    assertThrows(IllegalStateException.class, () -> first.resize(1));
  }

  @Test
  void requestLargerThanTheBudgetNeverFits() {
    assertThat(budget.open().resize(MAX_BYTES + 1)).isFalse();
    assertThat(budget.open().resize(Long.MAX_VALUE)).isFalse();
  }

  /** Guards against uses that each stay within a bound of their own and together fill the heap. */
  @Test
  void partsStayWithinTheBoundThatTheyHaveInCommon() {
    ByteBudget one = budget.part(70);
    ByteBudget.Share first = one.open();
    ByteBudget.Share second = budget.part(70).open();
    assertThat(first.resize(71)).isFalse();
    assertThat(first.resize(70)).isTrue();
    assertThat(second.resize(31)).isFalse();
    assertThat(second.resize(30)).isTrue();
    assertThat(budget.heldBytes()).isEqualTo(MAX_BYTES);
    first.close();
    assertThat(one.heldBytes()).isEqualTo(0);
    assertThat(budget.heldBytes()).isEqualTo(30);
    assertThat(budget.part(2 * MAX_BYTES).maxBytes()).isEqualTo(MAX_BYTES);
  }

  @Property(seed = "3101", tries = 2_000)
  void sharesTogetherStayWithinTheBudget(@ForAll long seed) {
    Random random = new Random(seed);
    ByteBudget shared = ByteBudget.of(MAX_BYTES);
    List<ByteBudget.Share> shares = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      if (shares.isEmpty() || random.nextInt(4) == 0) {
        shares.add(shared.open());
      }
      ByteBudget.Share share = shares.get(random.nextInt(shares.size()));
      long before = share.bytes();
      long asked = random.nextInt(80);
      long others = shared.heldBytes() - before;
      boolean fits = asked <= before || others + asked <= MAX_BYTES;
      assertThat(share.resize(asked)).isEqualTo(fits);
      if (random.nextInt(5) == 0) {
        share.close();
        shares.remove(share);
      }
      assertThat(shared.heldBytes())
          .isEqualTo(shares.stream().mapToLong(ByteBudget.Share::bytes).sum());
      assertThat(shared.heldBytes()).isAtMost(MAX_BYTES);
    }
    shares.forEach(ByteBudget.Share::close);
    assertThat(shared.heldBytes()).isEqualTo(0);
  }
}
