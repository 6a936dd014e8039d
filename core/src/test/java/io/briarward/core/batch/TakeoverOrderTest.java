package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TakeoverOrderTest {
  private static final long NOW_MILLIS = 100_000;

  private static BatchHead head(String id, long acceptedAtMillis, long dueMillis) {
    return new BatchHead(
        id,
        "org",
        "object",
        new BatchTerms("host", "route", "samplers", 3, dueMillis, 40_000, false),
        Optional.empty(),
        8,
        0,
        false,
        Optional.empty(),
        acceptedAtMillis,
        "token");
  }

  private static ImmutableList<String> next(int loading, BatchHead... waiting) {
    return TakeoverOrder.next(List.of(waiting), loading, NOW_MILLIS).stream()
        .map(BatchHead::id)
        .collect(ImmutableList.toImmutableList());
  }

  /** Guards against a step that is late since a batch accepted earlier but due later came first. */
  @Test
  void batchesAreLoadedByDueTime() {
    assertThat(next(0, head("accepted-first", 90_000, 20_000), head("due-first", 95_000, 7_500)))
        .containsExactly("due-first", "accepted-first")
        .inOrder();
  }

  /** Guards against batches that nobody waits for delaying those that are still due. */
  @Test
  void batchesPastTheEndOfTheirWaitFollowAllOthers() {
    BatchHead past = head("past", NOW_MILLIS - 40_000, 7_500);
    assertThat(next(0, past, head("late", NOW_MILLIS - 39_999, 7_500), head("due", 95_000, 7_500)))
        .containsExactly("late", "due")
        .inOrder();
    assertThat(next(1, past)).containsExactly("past");
  }

  /** Guards against all batches being loaded at once by a VM with little processor time. */
  @Test
  void twoBatchesAreLoadedTogether() {
    BatchHead[] waiting = {
      head("c", 93_000, 7_500), head("a", 91_000, 7_500), head("b", 92_000, 7_500)
    };
    assertThat(next(0, waiting)).containsExactly("a", "b").inOrder();
    assertThat(next(1, waiting)).containsExactly("a");
    assertThat(next(2, waiting)).isEmpty();
    assertThat(next(5, waiting)).isEmpty();
    assertThrows(IllegalArgumentException.class, () -> next(-1, waiting));
  }
}
