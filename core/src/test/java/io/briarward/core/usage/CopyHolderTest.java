package io.briarward.core.usage;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

class CopyHolderTest {
  private static final UsageSettings SETTINGS = UsageSettings.defaults();
  private static final UsageKey KEY = new UsageKey("mill", "recipe-llm", "live");

  private final CopyHolder holder = CopyHolder.create(SETTINGS);

  @Test
  void batchAfterMissingRecordsIsNotAcknowledged() {
    assertThat(holder.accept(batch(5, 6, 0), 0)).isEqualTo(0);
    assertThat(holder.size()).isEqualTo(0);
  }

  @Test
  void batchAfterFlushedRecordsIsAcknowledged() {
    assertThat(holder.accept(batch(5, 6, 5), 0)).isEqualTo(6);
  }

  @Test
  void copyIsDueOnceItReachesTheCopyAge() {
    holder.accept(batch(0, 1, 0), 0);

    assertThat(holder.due(SETTINGS.copyAgeMillis() - 1)).isEmpty();
    assertThat(holder.due(SETTINGS.copyAgeMillis())).hasSize(1);
  }

  private static CopyBatch batch(long after, long sequence, long flushed) {
    CopyEntry entry = new CopyEntry(0, KEY, new UsageAmounts(1, 0, 0, 0, 0), sequence);
    return new CopyBatch("vm1.a", after, sequence, flushed, ImmutableList.of(entry));
  }
}
