package io.briarward.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Answer;
import io.briarward.standins.http.Call;
import io.briarward.standins.http.Json;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;

/** Sends a completion to its caller, in parts or as a whole. */
final class CompletionWriter {
  private final Call call;
  private final Generation generation;
  private final Optional<HttpServerResponse> stream;
  private final StringBuilder text = new StringBuilder();

  CompletionWriter(Call call, Generation generation) {
    this.call = call;
    this.generation = generation;
    boolean streams = generation.request().stream();
    this.stream = streams ? Optional.of(call.startStream("text/event-stream")) : Optional.empty();
  }

  /** Sends what was generated, and the end of the answer when the completion is whole. */
  void write(Emission emission) {
    if (generation.finished() && call.answerLost()) {
      call.breakOff();
      return;
    }
    if (stream.isPresent()) {
      writeChunk(stream.get(), emission);
      return;
    }
    text.append(emission.text());
    if (generation.finished()) {
      call.answer(Answer.json(200, wholeAnswer()));
    }
  }

  /** Sends bytes that are no valid answer. */
  void writeGarbage() {
    Buffer garbage = Buffer.buffer("data: {\"choices\":\u0000garbage\n\n");
    if (stream.isPresent()) {
      stream.get().end(garbage);
    } else {
      call.answer(Answer.bytes(200, garbage));
    }
  }

  /** Closes the connection in the middle of the answer. */
  void breakOff() {
    call.breakOff();
  }

  private void writeChunk(HttpServerResponse response, Emission emission) {
    ObjectNode chunk = answer(emission.text());
    chunk.put("weight_version", emission.weightVersion());
    chunk.put("tokens", emission.tokens());
    response.write("data: " + chunk + "\n\n");
    if (generation.finished()) {
      response.end("data: [DONE]\n\n");
    }
  }

  private ObjectNode wholeAnswer() {
    ObjectNode answer = answer(text.toString());
    answer.put("tokens", generation.generatedTokens());
    answer.set("weight_versions", Json.tree(generation.spans()));
    return answer;
  }

  private ObjectNode answer(String newText) {
    CompletionRequest request = generation.request();
    ObjectNode answer = Json.object().put("id", request.id());
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0).put("text", newText);
    if (!generation.finished()) {
      choice.putNull("finish_reason");
      return answer;
    }
    choice.put("finish_reason", request.finishReason().label());
    answer
        .putObject("usage")
        .put("prompt_tokens", CompletionText.promptTokens(request.prompt()))
        .put("completion_tokens", generation.generatedTokens())
        .put("cached_tokens", generation.cachedTokens());
    return answer;
  }
}
