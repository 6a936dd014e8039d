package io.briarward.standins.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Response;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;

/** Sends a completion to its caller, as a stream or in one response. */
final class CompletionWriter {
  private final Exchange exchange;
  private final Generation generation;
  private final Optional<HttpServerResponse> stream;
  private final StringBuilder text = new StringBuilder();

  CompletionWriter(Exchange exchange, Generation generation) {
    this.exchange = exchange;
    this.generation = generation;
    boolean streams = generation.request().stream();
    this.stream =
        streams ? Optional.of(exchange.startStream("text/event-stream")) : Optional.empty();
  }

  /** Sends the generated text, and ends the response once the completion is finished. */
  void write(StepOutput output) {
    if (generation.isFinished() && exchange.responseLost()) {
      exchange.closeConnection();
      return;
    }
    if (stream.isPresent()) {
      writeChunk(stream.get(), output);
      return;
    }
    text.append(output.text());
    if (generation.isFinished()) {
      exchange.respond(Response.json(200, completeResponse()));
    }
  }

  /** Sends a malformed response. */
  void writeGarbage() {
    Buffer garbage = Buffer.buffer("data: {\"choices\":\u0000garbage\n\n");
    if (stream.isPresent()) {
      stream.get().end(garbage);
    } else {
      exchange.respond(Response.bytes(200, garbage));
    }
  }

  /** Closes the connection before the response is complete. */
  void closeConnection() {
    exchange.closeConnection();
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
    ObjectNode response = completionJson(text.toString());
    response.put("tokens", generation.generatedTokens());
    response.set("weight_versions", Json.tree(generation.spans()));
    return response;
  }

  private ObjectNode completionJson(String newText) {
    CompletionRequest request = generation.request();
    ObjectNode response = Json.object().put("id", request.id());
    ObjectNode choice =
        response.putArray("choices").addObject().put("index", 0).put("text", newText);
    if (!generation.isFinished()) {
      choice.putNull("finish_reason");
      return response;
    }
    choice.put("finish_reason", request.finishReason().label());
    response
        .putObject("usage")
        .put("prompt_tokens", CompletionText.promptTokens(request.prompt()))
        .put("completion_tokens", generation.generatedTokens())
        .put("cached_tokens", generation.cachedTokens());
    return response;
  }
}
