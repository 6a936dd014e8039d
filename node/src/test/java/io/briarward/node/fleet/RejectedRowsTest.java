package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;

class RejectedRowsTest {
  private final RejectedRows rows = new RejectedRows();

  @Test
  void rowIsNewOncePerCause() {
    assertThat(rows.add("a", "slots")).isTrue();
    assertThat(rows.add("a", "slots")).isFalse();
    assertThat(rows.add("b", "slots")).isTrue();
    assertThat(rows.add("a", "state")).isTrue();
    assertThat(rows.add("a", "state")).isFalse();
  }

  @Test
  void rowThatWasAcceptedOrDeletedIsNewAgain() {
    rows.add("a", "slots");
    rows.add("b", "slots");
    rows.add("c", "slots");
    rows.remove("a");
    rows.retain(ImmutableSet.of("c", "d"));
    assertThat(rows.add("a", "slots")).isTrue();
    assertThat(rows.add("b", "slots")).isTrue();
    assertThat(rows.add("c", "slots")).isFalse();
  }

  @Test
  void causeThatQuotesTheRowIsShortened() {
    String cause =
        RejectedRows.cause(new IllegalArgumentException("state is " + "x".repeat(9_000)));
    assertThat(cause).hasLength(200);
    assertThat(cause).contains("state is x");
  }
}
