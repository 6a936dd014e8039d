package io.briarward.experiments.demo;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.briarward.experiments.demo.TrainingStep.DeliveredSample;
import io.briarward.standins.engine.CompletionText;
import io.briarward.standins.http.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StepCheckTest {
  private static final int SAMPLES = 2;

  private final Findings findings = new Findings();
  private final List<DeliveredSample> samples = new ArrayList<>();
  private final List<JsonNode> runs = new ArrayList<>();

  @Test
  void completeStepHasNoFaults() {
    deliver(0, 1, 1);
    deliver(1, 1, 1);

    assertThat(faults()).isEmpty();
  }

  @Test
  void reportsMissingSample() {
    deliver(0, 1, 1);

    assertThat(faults()).containsExactly("sample group-0/1 was not delivered");
  }

  @Test
  void reportsSampleDeliveredTwice() {
    deliver(0, 1, 1);
    deliver(1, 1, 1);
    samples.add(samples.get(0));

    assertThat(faults()).containsExactly("sample group-0/0 was delivered twice");
  }

  @Test
  void reportsWeightVersionThatNoEngineReported() {
    deliver(0, 1, 1);
    deliver(1, 2, 1);

    assertThat(faults().get(0))
        .isEqualTo("sample group-0/1 names version 2 at token 0, which no engine reported");
  }

  @Test
  void reportsTextOfAnotherSample() {
    deliver(0, 1, 1);
    deliver(1, 1, 1);
    JsonNode first = samples.get(0).json();
    samples.set(1, new DeliveredSample("group-0", "group-0/1", first));

    assertThat(faults()).contains("sample group-0/1 has another text");
  }

  private ImmutableList<String> faults() {
    TrainingStep.Result result =
        new TrainingStep.Result(
            ImmutableList.of(TrainingStep.groupId(0)),
            ImmutableList.copyOf(samples),
            Duration.ZERO);
    new StepCheck(1, SAMPLES, result, EngineRecords.of(runs), findings).run();
    return findings.faults();
  }

  private void deliver(int index, long namedVersion, long reportedVersion) {
    String prompt = TrainingStep.prompt(0);
    long seed = TrainingStep.seed(0) + index;
    String text = CompletionText.text(prompt, seed, TrainingStep.MAX_TOKENS);
    int tokens = text.length() / CompletionText.CHARS_PER_TOKEN;
    var sample = Json.object().put("text", text).put("tokens", tokens);
    sample.set("weightVersions", spans(namedVersion, tokens));
    samples.add(new DeliveredSample("group-0", "group-0/" + index, sample));
    var run = Json.object().put("prompt", prompt).put("seed", seed).put("tokens", tokens);
    run.put("resumedTokens", 0).set("weightVersions", spans(reportedVersion, tokens));
    runs.add(run);
  }

  private static JsonNode spans(long version, int tokens) {
    var spans = Json.array();
    spans.addObject().put("version", version).put("start", 0).put("end", tokens);
    return spans;
  }
}
