package io.briarward.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import io.briarward.standins.http.Json;
import java.util.ArrayDeque;
import java.util.Deque;

/** The most recently ended completions, kept to verify the responses that callers received. */
final class RequestLog {
  private static final int MAX_ENTRIES = 20_000;

  private final Deque<Entry> entries = new ArrayDeque<>();

  /** How a completion ended on this engine. */
  enum Outcome {
    COMPLETED,
    CANCELLED
  }

  private record Entry(Generation generation, Outcome outcome) {}

  void record(Generation generation, Outcome outcome) {
    entries.addLast(new Entry(generation, outcome));
    if (entries.size() > MAX_ENTRIES) {
      entries.removeFirst();
    }
  }

  ArrayNode describe() {
    ArrayNode response = Json.array();
    entries.forEach(entry -> describe(response, entry));
    return response;
  }

  private static void describe(ArrayNode response, Entry entry) {
    Generation generation = entry.generation();
    CompletionRequest request = generation.request();
    response
        .addObject()
        .put("requestId", request.id())
        .put("prompt", request.prompt())
        .put("seed", request.seed())
        .put("resumedTokens", request.resumedTokens())
        .put("tokens", generation.generatedTokens())
        .put("outcome", entry.outcome().name())
        .set("weightVersions", Json.tree(generation.spans()));
  }
}
