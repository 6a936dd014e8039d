package io.briarward.core.batch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BatchSpecTest {
  /** Four groups of two items. */
  private static BatchSpec spec(int targetGroups) {
    return new BatchSpec(
        "b",
        Optional.empty(),
        0,
        targetGroups,
        IntStream.range(0, 8)
            .mapToObj(i -> new BatchItem("" + i, "g" + i / 2, "/b/1", ImmutableMap.of(), "", 0))
            .collect(ImmutableList.toImmutableList()));
  }

  @Test
  void batchIsUsefulIfAsManyGroupsAsItsCallerWaitsForCanBeComplete() {
    assertThat(spec(3).isUseful(item -> !item.id().equals("0"))).isTrue();
    assertThat(spec(4).isUseful(item -> !item.id().equals("0"))).isFalse();
    assertThat(spec(3).isUseful(item -> Integer.parseInt(item.id()) % 4 != 0)).isFalse();
  }

  @Test
  void batchWithoutNumberOfGroupsIsUsefulIfAnyItemCanRun() {
    assertThat(spec(0).isUseful(item -> item.id().equals("7"))).isTrue();
    assertThat(spec(0).isUseful(item -> false)).isFalse();
  }

  /** Guards against the rejection of a batch whose caller waits for more groups than it has. */
  @Test
  void batchOfWhichAllItemsCanRunIsUseful() {
    assertThat(spec(9).isUseful(item -> true)).isTrue();
  }

  @Test
  void itemOfUnknownSizeFitsAnywhereAndAnyItemFitsUnknownCapacity() {
    BatchItem unknown = new BatchItem("a", "", "/b/1", ImmutableMap.of(), "", 0);
    assertThat(unknown.fits(1)).isTrue();
    BatchItem large =
        new BatchItem("a", "", "/b/1", ImmutableMap.of(), "", 0, 100, Optional.empty());
    assertThat(large.fits(0)).isTrue();
    assertThat(large.fits(100)).isTrue();
    assertThat(large.fits(99)).isFalse();
  }
}
