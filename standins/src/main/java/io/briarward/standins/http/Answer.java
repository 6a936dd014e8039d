package io.briarward.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * A whole HTTP answer.
 *
 * @param status the HTTP status code
 * @param headers the headers beside the content length
 * @param body the bytes, possibly none
 */
public record Answer(int status, ImmutableMap<String, String> headers, Buffer body) {
  private static final ImmutableMap<String, String> JSON_HEADERS =
      ImmutableMap.of("Content-Type", "application/json");

  /** Returns an answer without a body. */
  public static Answer empty(int status) {
    return new Answer(status, ImmutableMap.of(), Buffer.buffer());
  }

  /** Returns an answer with a JSON body. */
  public static Answer json(int status, JsonNode body) {
    return new Answer(status, JSON_HEADERS, Buffer.buffer(body.toString()));
  }

  /** Returns an answer with bytes. */
  public static Answer bytes(int status, Buffer body) {
    return new Answer(status, ImmutableMap.of("Content-Type", "application/octet-stream"), body);
  }

  /** Returns an error with its kind and a detail. */
  public static Answer error(int status, String kind, String detail) {
    return json(status, Json.object().put("error", kind).put("detail", detail));
  }

  /** Returns an error that asks the client to come back later. */
  public static Answer retryLater(int status, String kind, long retryAfterSeconds) {
    Answer error = error(status, kind, "try again in " + retryAfterSeconds + " s");
    ImmutableMap<String, String> headers =
        ImmutableMap.<String, String>builder()
            .putAll(JSON_HEADERS)
            .put("Retry-After", Long.toString(retryAfterSeconds))
            .buildOrThrow();
    return new Answer(status, headers, error.body());
  }

  /** Returns 200 with the JSON body, or 404. */
  public static Answer found(Optional<? extends JsonNode> body) {
    return body.map(node -> json(200, node)).orElseGet(Answer::notFound);
  }

  /** Returns 404. */
  public static Answer notFound() {
    return error(404, "not-found", "no such resource");
  }
}
