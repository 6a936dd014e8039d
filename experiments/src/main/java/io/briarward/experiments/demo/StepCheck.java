package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSortedMultiset;
import com.google.common.collect.Multiset;
import com.google.common.collect.TreeMultiset;
import io.briarward.experiments.demo.TrainingStep.DeliveredSample;
import io.briarward.standins.engine.CompletionText;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a training step delivered each group and sample exactly once, with the correct text
 * and with weight versions that the engines reported.
 */
final class StepCheck {
  private final int groups;
  private final int samplesPerGroup;
  private final TrainingStep.Result result;
  private final EngineRecords records;
  private final Findings findings;

  StepCheck(
      int groups,
      int samplesPerGroup,
      TrainingStep.Result result,
      EngineRecords records,
      Findings findings) {
    this.groups = groups;
    this.samplesPerGroup = samplesPerGroup;
    this.result = result;
    this.records = records;
    this.findings = findings;
  }

  /** Checks all groups and samples of the step. */
  void run() {
    Map<String, DeliveredSample> byId = new HashMap<>();
    for (DeliveredSample sample : result.samples()) {
      boolean first = byId.put(sample.id(), sample) == null;
      findings.expect(first, "sample %s was delivered twice", sample.id());
    }
    Set<String> delivered = new HashSet<>(result.groups());
    findings.expect(
        delivered.size() == result.groups().size(),
        "a group was delivered twice: %s",
        result.groups());
    for (int group = 0; group < groups; group++) {
      String id = TrainingStep.groupId(group);
      findings.expect(delivered.remove(id), "group %s was not delivered", id);
      checkGroup(group, byId);
    }
    findings.expect(delivered.isEmpty(), "groups %s were never asked for", delivered);
    findings.expect(byId.isEmpty(), "samples %s were never asked for", byId.keySet());
  }

  /** Returns, for each weight version, the number of samples with tokens of that version. */
  ImmutableSortedMultiset<Long> samplesPerVersion() {
    Multiset<Long> counts = TreeMultiset.create();
    for (DeliveredSample sample : result.samples()) {
      Set<Long> versions = new HashSet<>();
      sample
          .json()
          .path("weightVersions")
          .forEach(span -> versions.add(span.path("version").asLong()));
      counts.addAll(versions);
    }
    return ImmutableSortedMultiset.copyOf(counts);
  }

  /** Returns the number of tokens in all delivered samples. */
  long deliveredTokens() {
    return result.samples().stream()
        .mapToLong(sample -> sample.json().path("tokens").asLong())
        .sum();
  }

  private void checkGroup(int group, Map<String, DeliveredSample> byId) {
    for (int index = 0; index < samplesPerGroup; index++) {
      String id = TrainingStep.groupId(group) + "/" + index;
      DeliveredSample sample = byId.remove(id);
      findings.expect(sample != null, "sample %s was not delivered", id);
      if (sample != null) {
        checkSample(sample, TrainingStep.prompt(group), TrainingStep.seed(group) + index);
      }
    }
  }

  private void checkSample(DeliveredSample sample, String prompt, long seed) {
    String expected = CompletionText.text(prompt, seed, TrainingStep.MAX_TOKENS);
    int tokens = expected.length() / CompletionText.CHARS_PER_TOKEN;
    JsonNode json = sample.json();
    findings.expect(
        json.path("text").asText().equals(expected), "sample %s has another text", sample.id());
    findings.expect(
        json.path("tokens").asInt() == tokens, "sample %s has a wrong length", sample.id());
    checkVersions(sample, prompt, seed, tokens);
  }

  private void checkVersions(DeliveredSample sample, String prompt, long seed, int tokens) {
    int next = 0;
    for (JsonNode span : sample.json().path("weightVersions")) {
      long version = span.path("version").asLong();
      int end = span.path("end").asInt();
      findings.expect(
          span.path("start").asInt() == next, "sample %s has a gap at %d", sample.id(), next);
      for (int position = next; position < end; position++) {
        findings.expect(
            records.generated(prompt, seed, position, version),
            "sample %s names version %d at token %d, which no engine reported",
            sample.id(),
            version,
            position);
      }
      next = end;
    }
    findings.expect(next == tokens, "the versions of sample %s end at %d", sample.id(), next);
  }
}
