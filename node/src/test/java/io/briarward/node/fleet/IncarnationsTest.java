package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class IncarnationsTest {
  private final String first = Incarnations.create("front-1", "10.0.0.1");

  @Test
  void startsOfOneVmHaveDistinctIncarnationsWithItsName() {
    String second = Incarnations.create("front-1", "10.0.0.1");
    assertThat(second).isNotEqualTo(first);
    assertThat(Incarnations.vm(first)).isEqualTo("front-1");
    assertThat(Incarnations.sameVm(first, second)).isTrue();
  }

  @Test
  void replacementWithSameNameIsDifferentVm() {
    assertThat(Incarnations.sameVm(first, Incarnations.create("front-1", "10.0.0.2"))).isFalse();
    assertThat(Incarnations.sameVm(first, Incarnations.create("front-2", "10.0.0.1"))).isFalse();
    assertThat(Incarnations.sameVm(first, "front-1")).isFalse();
  }

  @Test
  void partsContainingSeparatorAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> Incarnations.create("a#b", "10.0.0.1"));
    assertThrows(IllegalArgumentException.class, () -> Incarnations.create("a", "10#1"));
  }
}
