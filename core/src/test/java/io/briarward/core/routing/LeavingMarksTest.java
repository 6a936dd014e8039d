package io.briarward.core.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;

class LeavingMarksTest {
  private final LeavingMarks marks = LeavingMarks.create();

  @Test
  void markedUpstreamLeaves() {
    assertThat(marks.onResponse("a", true, 0, 10)).isTrue();
    assertThat(marks.onResponse("a", true, 5, 20)).isFalse();
    assertThat(marks.onResponse("b", false, 5, 20)).isFalse();
    assertThat(marks.ids()).containsExactly("a");
  }

  @Test
  void responseToEarlierRequestDoesNotEndTheMark() {
    marks.onResponse("a", true, 0, 10);
    assertThat(marks.onResponse("a", false, 10, 30)).isFalse();
    assertThat(marks.ids()).containsExactly("a");
  }

  @Test
  void responseWithoutMarkToLaterRequestEndsIt() {
    marks.onResponse("a", true, 0, 10);
    assertThat(marks.onResponse("a", false, 11, 12)).isTrue();
    assertThat(marks.ids()).isEmpty();
  }

  @Test
  void upstreamsThatAreNotListedAreForgotten() {
    marks.onResponse("a", true, 0, 10);
    marks.onResponse("b", true, 0, 10);
    marks.retain(ImmutableSet.of("b", "c"));
    assertThat(marks.ids()).containsExactly("b");
  }
}
