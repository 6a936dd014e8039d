package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;

class NodeDemandTest {
  private static NodeDemand demand(double neededPerSecond) {
    return new NodeDemand(ImmutableMap.of("u/1", neededPerSecond), ImmutableMap.of());
  }

  @Test
  void needOfUnknownUpstreamIsZero() {
    assertThat(demand(3).neededPerSecond("u/1")).isEqualTo(3);
    assertThat(demand(3).neededPerSecond("u/2")).isEqualTo(0);
  }

  @Test
  void demandExceedsTwiceAnotherIfTheNeedOfAnyUpstreamDoes() {
    assertThat(demand(5).exceedsTwice(demand(2))).isTrue();
    assertThat(demand(4.5).exceedsTwice(demand(2))).isFalse();
    assertThat(demand(0.6).exceedsTwice(NodeDemand.NONE)).isTrue();
    assertThat(demand(0.4).exceedsTwice(NodeDemand.NONE)).isFalse();
    assertThat(NodeDemand.NONE.exceedsTwice(demand(2))).isFalse();
  }
}
