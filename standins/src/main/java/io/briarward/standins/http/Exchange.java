package io.briarward.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * An HTTP request with its complete body, and the means to respond to it once.
 *
 * <p>Confined to the stand-in's event loop.
 */
public final class Exchange {
  private final HttpServerRequest request;
  private final Buffer body;
  private final boolean responseLost;

  Exchange(HttpServerRequest request, Buffer body, boolean responseLost) {
    this.request = request;
    this.body = body;
    this.responseLost = responseLost;
  }

  /** Returns the name of the HTTP method. */
  public String method() {
    return request.method().name();
  }

  /** Returns the path, still percent-encoded. */
  public String path() {
    return request.path();
  }

  /** Returns the path and query, still percent-encoded. */
  public String uri() {
    return request.uri();
  }

  /** Returns the percent-decoded segments of the path. */
  public ImmutableList<String> segments() {
    return Splitter.on('/')
        .splitToStream(request.path().substring(1))
        .map(Exchange::decode)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the value of a header, or empty if it is absent. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeader(name));
  }

  /** Returns the value of a query parameter, or empty if it is absent. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(request.getParam(name));
  }

  public Buffer body() {
    return body;
  }

  /**
   * Returns the body as JSON.
   *
   * @throws IllegalArgumentException if the body is not JSON
   */
  public JsonNode json() {
    return Json.parse(body.toString());
  }

  /** Returns whether the response is to be lost after the operation has taken effect. */
  public boolean responseLost() {
    return responseLost;
  }

  /** Sends the response, or closes the connection if the response is to be lost. */
  public void respond(Response response) {
    if (responseLost) {
      closeConnection();
      return;
    }
    HttpServerResponse httpResponse = request.response().setStatusCode(response.status());
    response.headers().forEach(httpResponse::putHeader);
    httpResponse.end(response.body());
  }

  /** Starts a chunked response with status 200. */
  public HttpServerResponse startStream(String contentType) {
    return request
        .response()
        .setStatusCode(200)
        .setChunked(true)
        .putHeader("Content-Type", contentType);
  }

  /** Runs the action when the client closes the connection or the response ends. */
  public void onClose(Runnable action) {
    request.response().closeHandler(unused -> action.run());
  }

  public void closeConnection() {
    request.connection().close();
  }

  private static String decode(String segment) {
    return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
  }
}
