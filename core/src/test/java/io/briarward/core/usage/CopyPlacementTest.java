package io.briarward.core.usage;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.usage.CopyPlacement.Candidate;
import org.junit.jupiter.api.Test;

class CopyPlacementTest {
  private static final Candidate SELF = new Candidate("vm1", "nadi");

  @Test
  void prefersOneVmInEachOtherDataCentre() {
    ImmutableList<Candidate> others =
        ImmutableList.of(
            new Candidate("vm2", "nadi"),
            new Candidate("vm3", "ba"),
            new Candidate("vm4", "ba"),
            new Candidate("vm5", "lautoka"));

    assertThat(CopyPlacement.choose(SELF, others, 2)).contains("vm5");
    assertThat(CopyPlacement.choose(SELF, others, 2)).doesNotContain("vm2");
  }

  @Test
  void takesTheSameDataCentreWhenThereIsNoOther() {
    ImmutableList<Candidate> others = ImmutableList.of(SELF, new Candidate("vm2", "nadi"));

    assertThat(CopyPlacement.choose(SELF, others, 2)).containsExactly("vm2");
  }
}
