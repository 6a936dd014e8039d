package io.briarward.core.usage;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class WindowCountsTest {
  private final WindowCounts counts = WindowCounts.create(5_000);

  @Test
  void countsByWindowAndOrganisation() {
    counts.add("a", 4_999);
    counts.add("a", 5_000);
    counts.add("b", 9_999);
    assertThat(counts.counts(0)).containsExactly("a", 1L);
    assertThat(counts.counts(1)).containsExactly("a", 1L, "b", 1L);
    assertThat(counts.endMillis(1)).isEqualTo(10_000);
  }

  @Test
  void returnsChangedWindowsOnce() {
    counts.add("a", 1);
    assertThat(counts.takeChanged()).containsExactly(0L);
    assertThat(counts.takeChanged()).isEmpty();
    counts.markChanged(0);
    assertThat(counts.takeChanged()).containsExactly(0L);
  }

  @Test
  void removesOldWindows() {
    counts.add("a", 1);
    counts.add("a", 5_000);
    counts.forgetBefore(1);
    assertThat(counts.counts(0)).isEmpty();
    assertThat(counts.takeChanged()).containsExactly(1L);
  }
}
