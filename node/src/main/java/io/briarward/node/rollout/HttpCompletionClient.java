package io.briarward.node.rollout;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.net.UrlEscapers;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.rollout.RolloutAction;
import io.briarward.node.live.UpstreamRequests;
import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.parsetools.RecordParser;
import java.util.Optional;

/** Streams completions over HTTP with server-sent events. */
final class HttpCompletionClient implements CompletionClient {
  private static final String COMPLETIONS_PATH = "/v1/completions";
  private static final int PRIORITY = 10;
  private static final int OK = 200;
  private static final String DATA_PREFIX = "data: ";
  private static final String DONE_PAYLOAD = "[DONE]";
  private static final String EVENT_DELIMITER = "\n\n";
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final UpstreamRequests requests;

  private HttpCompletionClient(UpstreamRequests requests) {
    this.requests = requests;
  }

  static HttpCompletionClient create(UpstreamRequests requests) {
    return new HttpCompletionClient(requests);
  }

  @Override
  public Flowable<CompletionChunk> complete(Upstream upstream, RolloutAction.Dispatch dispatch) {
    return Flowable.create(
        emitter ->
            requests
                .open(upstream, HttpMethod.POST, COMPLETIONS_PATH)
                .onSuccess(request -> new Exchange(upstream, dispatch, emitter).send(request))
                .onFailure(emitter::tryOnError),
        BackpressureStrategy.BUFFER);
  }

  private static ObjectNode body(RolloutAction.Dispatch dispatch) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("prompt", dispatch.prompt());
    body.put("max_tokens", dispatch.sampling().maxTokens());
    body.put("temperature", dispatch.sampling().temperature());
    body.put("seed", dispatch.sampling().seed());
    body.put("stream", true);
    body.put("priority", PRIORITY);
    if (dispatch.resumeTokens() > 0) {
      body.put("resume_text", dispatch.resumeText());
      body.put("resume_tokens", dispatch.resumeTokens());
    }
    return body;
  }

  private static CompletionChunk parse(String payload) throws JsonProcessingException {
    JsonNode event = MAPPER.readTree(payload);
    JsonNode choice = event.path("choices").path(0);
    boolean isComplete =
        choice.path("text").isTextual()
            && event.path("weight_version").isIntegralNumber()
            && event.path("tokens").isIntegralNumber();
    if (!isComplete) {
      throw new IllegalArgumentException("event lacks text, weight_version or tokens");
    }
    return new CompletionChunk(
        choice.path("text").asText(),
        event.path("tokens").asInt(),
        event.path("weight_version").asLong(),
        Optional.ofNullable(choice.path("finish_reason").textValue()));
  }

  private static Throwable failure(String detail) {
    return Failure.unknown(ErrorKind.UPSTREAM_FAILED, detail).toException();
  }

  /** A request and its streamed response. */
  private final class Exchange {
    private final Upstream upstream;
    private final RolloutAction.Dispatch dispatch;
    private final FlowableEmitter<CompletionChunk> emitter;
    private boolean ended;

    Exchange(
        Upstream upstream,
        RolloutAction.Dispatch dispatch,
        FlowableEmitter<CompletionChunk> emitter) {
      this.upstream = upstream;
      this.dispatch = dispatch;
      this.emitter = emitter;
    }

    void send(HttpClientRequest request) {
      if (emitter.isCancelled()) {
        request.reset();
        return;
      }
      emitter.setCancellable(() -> cancel(request));
      request
          .putHeader("Content-Type", "application/json")
          .putHeader("X-Request-Id", dispatch.attemptId())
          .send(Buffer.buffer(body(dispatch).toString()))
          .onSuccess(this::handleResponse)
          .onFailure(this::fail);
    }

    private void cancel(HttpClientRequest request) {
      if (ended) {
        return;
      }
      ended = true;
      request.reset();
      String id = UrlEscapers.urlPathSegmentEscaper().escape(dispatch.attemptId());
      requests
          .open(upstream, HttpMethod.DELETE, COMPLETIONS_PATH + "/" + id)
          .onSuccess(HttpClientRequest::send);
    }

    private void handleResponse(HttpClientResponse response) {
      if (response.statusCode() != OK) {
        fail(failure("the sampler responded with status " + response.statusCode()));
        return;
      }
      RecordParser events = RecordParser.newDelimited(EVENT_DELIMITER, this::handleEvent);
      events.maxRecordSize(MAX_EVENT_BYTES);
      events.exceptionHandler(this::fail);
      response.exceptionHandler(this::fail);
      response.endHandler(
          unused -> fail(failure("the connection closed before the end of the stream")));
      response.handler(events);
    }

    private void handleEvent(Buffer event) {
      String text = event.toString();
      String payload = text.startsWith(DATA_PREFIX) ? text.substring(DATA_PREFIX.length()) : "";
      if (payload.equals(DONE_PAYLOAD)) {
        ended = true;
        emitter.onComplete();
        return;
      }
      try {
        emitter.onNext(parse(payload));
      } catch (JsonProcessingException | IllegalArgumentException e) {
        fail(failure("the sampler sent a malformed event"));
      }
    }

    private void fail(Throwable cause) {
      emitter.tryOnError(cause);
    }
  }
}
