package io.briarward.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status code
 * @param headers the headers except Content-Length
 * @param body the body, possibly empty
 */
public record Response(int status, ImmutableMap<String, String> headers, Buffer body) {
  private static final ImmutableMap<String, String> JSON_HEADERS =
      ImmutableMap.of("Content-Type", "application/json");

  /** Returns a response without a body. */
  public static Response empty(int status) {
    return new Response(status, ImmutableMap.of(), Buffer.buffer());
  }

  /** Returns a response with a JSON body. */
  public static Response json(int status, JsonNode body) {
    return new Response(status, JSON_HEADERS, Buffer.buffer(body.toString()));
  }

  /** Returns a response with a binary body. */
  public static Response bytes(int status, Buffer body) {
    return new Response(status, ImmutableMap.of("Content-Type", "application/octet-stream"), body);
  }

  /** Returns an error response with a JSON body that holds the kind and the detail. */
  public static Response error(int status, String kind, String detail) {
    return json(status, Json.object().put("error", kind).put("detail", detail));
  }

  /** Returns an error response with a Retry-After header. */
  public static Response retryLater(int status, String kind, long retryAfterSeconds) {
    Response error = error(status, kind, "retry after " + retryAfterSeconds + " s");
    ImmutableMap<String, String> headers =
        ImmutableMap.<String, String>builder()
            .putAll(JSON_HEADERS)
            .put("Retry-After", Long.toString(retryAfterSeconds))
            .buildOrThrow();
    return new Response(status, headers, error.body());
  }

  /** Returns a 200 response with the JSON body, or a 404 response if it is empty. */
  public static Response okOrNotFound(Optional<? extends JsonNode> body) {
    return body.map(node -> json(200, node)).orElseGet(Response::notFound);
  }

  /** Returns a 404 response. */
  public static Response notFound() {
    return error(404, "not-found", "no such resource");
  }
}
