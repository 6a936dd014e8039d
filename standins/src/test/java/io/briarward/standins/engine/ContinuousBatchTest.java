package io.briarward.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.standins.http.Options;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ContinuousBatchTest {
  private static final long AFTER_PREFILL_MICROS = 1_000_000_000L;

  private final EngineSettings settings =
      EngineSettings.from(Options.of(ImmutableMap.of("batchLimit", "2")));
  private final List<PrefixCache.Use> cacheUses = new ArrayList<>();
  private final ContinuousBatch batch = new ContinuousBatch(settings, cacheUses::add);

  @Test
  void admitStopsAtTheBatchLimit() {
    for (int i = 0; i < 3; i++) {
      batch.add(generation("r" + i, "p" + i, 0, 4));
    }

    batch.admit(0);

    assertThat(batch.running()).hasSize(2);
    assertThat(batch.waitingCount()).isEqualTo(1);
  }

  @Test
  void stepDurationGrowsWithRunningCompletions() {
    batch.add(generation("a", "p", 0, 4));
    batch.admit(0);
    final long oneRunsMicros = batch.stepMicros();
    batch.add(generation("b", "q", 0, 4));
    batch.admit(0);

    assertThat(batch.stepMicros()).isGreaterThan(oneRunsMicros);
  }

  @Test
  void lowerPriorityValueIsAdmittedFirst() {
    batch.add(generation("background", "p", 5, 4));
    batch.add(generation("background-2", "p", 5, 4));
    batch.add(generation("urgent", "p", 1, 4));

    batch.admit(0);

    assertThat(batch.running().stream().map(each -> each.request().id()))
        .containsExactly("urgent", "background")
        .inOrder();
  }

  @Test
  void completionGeneratesNothingBeforeItsPrefillFinishes() {
    batch.add(generation("a", "p".repeat(100), 0, 4));
    batch.admit(0);

    assertThat(batch.step(0, 1)).isEmpty();
    assertThat(batch.step(AFTER_PREFILL_MICROS, 1)).hasSize(1);
  }

  @Test
  void cachedPrefixNeedsNoPrefill() {
    String prompt = "p".repeat(100);
    batch.add(generation("first", prompt, 0, 1));
    batch.admit(0);
    batch.step(AFTER_PREFILL_MICROS, 1);
    batch.add(generation("second", prompt, 0, 1));
    batch.admit(AFTER_PREFILL_MICROS);

    assertThat(batch.step(AFTER_PREFILL_MICROS, 1)).hasSize(1);
  }

  @Test
  void importedKvCacheNeedsNoPrefill() {
    batch.importKv("a");
    batch.add(generation("a", "p".repeat(100), 0, 4));
    batch.admit(0);

    assertThat(batch.step(0, 1)).hasSize(1);
  }

  @Test
  void weightSwapDuringGenerationStartsNewSpan() {
    Generation generation = generation("a", "p", 0, 3);
    batch.add(generation);
    batch.admit(0);

    batch.step(AFTER_PREFILL_MICROS, 1);
    batch.step(AFTER_PREFILL_MICROS, 2);
    batch.step(AFTER_PREFILL_MICROS, 2);

    assertThat(generation.spans())
        .containsExactly(new VersionSpan(1, 0, 1), new VersionSpan(2, 1, 3))
        .inOrder();
  }

  @Test
  void resumedCompletionContinuesAfterItsResumedTokens() {
    CompletionRequest request = new CompletionRequest("a", "p", 7, 3, 2, 0, true);
    batch.add(new Generation(request));
    batch.admit(0);

    ImmutableList<StepOutput> outputs = batch.step(AFTER_PREFILL_MICROS, 1);

    assertThat(outputs.get(0).text()).isEqualTo(CompletionText.token("p", 7, 2));
    assertThat(batch.isIdle()).isTrue();
  }

  @Test
  void removedCompletionGeneratesNothing() {
    batch.add(generation("a", "p", 0, 3));
    batch.admit(0);

    batch.removeIf(each -> each.request().id().equals("a"));

    assertThat(batch.step(AFTER_PREFILL_MICROS, 1)).isEmpty();
  }

  private static Generation generation(String id, String prompt, int priority, int maxTokens) {
    return new Generation(new CompletionRequest(id, prompt, 0, maxTokens, 0, priority, true));
  }
}
