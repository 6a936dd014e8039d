package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.FailureException;
import io.briarward.core.memory.ByteBudget;
import org.junit.jupiter.api.Test;

class SubmissionMemoryTest {
  private static final long MAX_BYTES = 1 << 20;

  private final ByteBudget budget = ByteBudget.of(MAX_BYTES);
  private final SubmissionMemory memory = SubmissionMemory.open(budget);

  private static BatchItem item(int index, String group) {
    return new BatchItem("i" + index, group, "/b/1", ImmutableMap.of(), "", 0);
  }

  @Test
  void equalTextsAreKeptOnce() {
    String first = memory.share("a".repeat(100));
    assertThat(memory.share("a".repeat(100))).isSameInstanceAs(first);
  }

  /** Guards against a bound that counts the text of items that are far larger once parsed. */
  @Test
  void itemCountsMoreThanItsText() {
    for (int i = 0; i < 1_000; i++) {
      memory.endItem(item(i, ""));
    }
    memory.endParsing();
    assertThat(memory.bytes()).isAtLeast(1_000 * 150);
  }

  @Test
  void groupsCountBesideTheirItems() {
    for (int i = 0; i < 1_000; i++) {
      memory.endItem(item(i, "g" + i));
    }
    memory.endParsing();
    assertThat(memory.bytes()).isAtLeast(1_000 * 450);
  }

  @Test
  void whatOnlyParsingNeedsIsGivenBackWithEachItem() {
    memory.addPassing(MAX_BYTES);
    memory.endItem(item(0, ""));
    memory.addPassing(MAX_BYTES - 1_000);
    memory.endItem(item(1, ""));
    memory.endParsing();
    assertThat(budget.heldBytes()).isLessThan(2_000);
    memory.close();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }

  @Test
  void submissionThatFitsOnlyWithoutOthersMayBeRepeated() {
    ByteBudget.Share others = budget.open();
    assertThat(others.resize(MAX_BYTES - 10)).isTrue();
    FailureException rejected =
        assertThrows(FailureException.class, () -> memory.addPassing(1_000));
    assertThat(rejected.failure().kind()).isEqualTo(ErrorKind.BODIES_TOO_LARGE);
    assertThat(rejected.failure().retryAfterMillis()).isPresent();
  }

  @Test
  void submissionThatNeverFitsIsRejectedForGood() {
    FailureException rejected =
        assertThrows(FailureException.class, () -> memory.addPassing(MAX_BYTES + 1));
    assertThat(rejected.failure().kind()).isEqualTo(ErrorKind.BODY_TOO_LARGE);
  }
}
