package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

class RelayHistoryTest {
  private static final ImmutableList<String> NODES = ImmutableList.of("a", "b", "c");

  private final RelayHistory<String> history = RelayHistory.create();

  @Test
  void allNodesAreEqualWithoutResults() {
    assertThat(history.best(NODES, 0)).isEqualTo(NODES);
    assertThat(history.best(ImmutableList.of(), 0)).isEmpty();
  }

  @Test
  void nodeThatFailedIsAvoidedForThreeSeconds() {
    history.onResult("a", false, 0);
    assertThat(history.best(NODES, 3_000)).containsExactly("b", "c");
    assertThat(history.best(ImmutableList.of("a"), 3_000)).containsExactly("a");
    assertThat(history.best(NODES, 3_001)).isEqualTo(NODES);
  }

  @Test
  void nodeThatRanRequestsIsPreferredUntilItFails() {
    history.onResult("a", false, 0);
    history.onResult("b", true, 0);
    assertThat(history.best(NODES, 10)).containsExactly("b");
    history.onResult("b", false, 20);
    assertThat(history.best(NODES, 30)).containsExactly("c");
  }
}
