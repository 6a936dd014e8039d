package io.briarward.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Answer;
import io.briarward.standins.http.Call;
import io.briarward.standins.http.Json;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;

/** Sends a completion to its caller, as a stream or in one response. */
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

  /** Sends the generated text, and ends the response once the completion is finished. */
  void write(StepOutput output) {
    if (generation.isFinished() && call.answerLost()) {
      call.breakOff();
      return;
    }
    if (stream.isPresent()) {
      writeChunk(stream.get(), output);
      return;
    }
    text.append(output.text());
    if (generation.isFinished()) {
      call.answer(Answer.json(200, completeResponse()));
    }
  }

  /** Sends a malformed response. */
  void writeGarbage() {
    Buffer garbage = Buffer.buffer("data: {\"choices\":\u0000garbage\n\n");
    if (stream.isPresent()) {
      stream.get().end(garbage);
    } else {
      call.answer(Answer.bytes(200, garbage));
    }
  }

  /** Closes the connection before the response is complete. */
  void breakOff() {
    call.breakOff();
  }

  private void writeChunk(HttpServerResponse response, StepOutput output) {
    ObjectNode chunk = completionJson(output.text());
    chunk.put("weight_version", output.weightVersion());
    chunk.put("tokens", output.tokens());
    response.write("data: " + chunk + "\n\n");
    if (generation.isFinished()) {
      response.end("data: [DONE]\n\n");
    }
  }

  private ObjectNode completeResponse() {
    ObjectNode answer = completionJson(text.toString());
    answer.put("tokens", generation.generatedTokens());
    answer.set("weight_versions", Json.tree(generation.spans()));
    return answer;
  }

  private ObjectNode completionJson(String newText) {
    CompletionRequest request = generation.request();
    ObjectNode answer = Json.object().put("id", request.id());
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0).put("text", newText);
    if (!generation.isFinished()) {
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
