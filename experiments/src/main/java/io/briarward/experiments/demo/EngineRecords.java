package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import io.briarward.experiments.demo.HttpCalls.Request;
import java.util.ArrayList;
import java.util.List;

/** The engines' records of the completions that they ran. Not thread-safe. */
final class EngineRecords {
  private final ListMultimap<CompletionKey, JsonNode> runs = ArrayListMultimap.create();
  private long generatedTokens;

  private record CompletionKey(String prompt, long seed) {}

  private EngineRecords() {}

  /** Reads the records of all engines. */
  static EngineRecords read(HttpCalls http, ImmutableList<Integer> ports) {
    List<JsonNode> runs = new ArrayList<>();
    for (int port : ports) {
      JsonNode answer = http.sendForJson(Request.get(port, "/control/requests"));
      answer.path("requests").forEach(runs::add);
    }
    return of(runs);
  }

  /** Returns records of the given completion runs. */
  static EngineRecords of(Iterable<JsonNode> runs) {
    EngineRecords records = new EngineRecords();
    runs.forEach(records::add);
    return records;
  }

  /** Returns the number of generated tokens, including those of abandoned attempts. */
  long generatedTokens() {
    return generatedTokens;
  }

  /** Returns whether any engine generated the token at the position with the weight version. */
  boolean generated(String prompt, long seed, int position, long version) {
    return runs.get(new CompletionKey(prompt, seed)).stream()
        .anyMatch(run -> covers(run, position, version));
  }

  private void add(JsonNode run) {
    runs.put(new CompletionKey(run.path("prompt").asText(), run.path("seed").asLong()), run);
    generatedTokens += run.path("tokens").asLong();
  }

  private static boolean covers(JsonNode run, int position, long version) {
    int relative = position - run.path("resumedTokens").asInt();
    for (JsonNode span : run.path("weightVersions")) {
      boolean inside =
          relative >= span.path("start").asInt() && relative < span.path("end").asInt();
      if (inside && span.path("version").asLong() == version) {
        return true;
      }
    }
    return false;
  }
}
