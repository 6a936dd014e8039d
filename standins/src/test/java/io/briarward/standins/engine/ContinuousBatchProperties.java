package io.briarward.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import io.briarward.standins.http.Options;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class ContinuousBatchProperties {
  private static final int MAX_STEPS = 100_000;

  @Property(seed = "3", tries = 200)
  void everyCompletionFinishesWithItsFullTextWithinTheBatchLimit(
      @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 0, max = 60) Integer> maxTokens,
      @ForAll @IntRange(min = 1, max = 5) int batchLimit,
      @ForAll @IntRange(min = 1, max = 400) int kvLimitTokens) {
    ContinuousBatch batch = batch(batchLimit, kvLimitTokens);
    Map<String, StringBuilder> texts = new HashMap<>();
    for (int i = 0; i < maxTokens.size(); i++) {
      String prompt = "prompt " + i;
      texts.put(prompt, new StringBuilder());
      batch.add(
          new Generation(
              new CompletionRequest(prompt, prompt, i, maxTokens.get(i), 0, i % 3, true)));
    }

    long nowMicros = 0;
    for (int step = 0; !batch.isIdle() && step < MAX_STEPS; step++) {
      batch.admit(nowMicros);
      assertThat(batch.running().size()).isAtMost(batchLimit);
      nowMicros += batch.stepMicros();
      for (StepOutput output : batch.step(nowMicros, 1)) {
        texts.get(output.generation().request().prompt()).append(output.text());
      }
    }

    for (int i = 0; i < maxTokens.size(); i++) {
      String prompt = "prompt " + i;
      assertThat(texts.get(prompt).toString())
          .isEqualTo(CompletionText.text(prompt, i, maxTokens.get(i)));
    }
  }

  private static ContinuousBatch batch(int batchLimit, int kvLimitTokens) {
    ImmutableMap<String, String> options =
        ImmutableMap.of(
            "batchLimit", Integer.toString(batchLimit),
            "kvLimitTokens", Integer.toString(kvLimitTokens));
    return new ContinuousBatch(EngineSettings.from(Options.of(options)), unused -> {});
  }
}
