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

/** A request with its whole body, to be answered once. Confined to the stand-in's event loop. */
public final class Call {
  private final HttpServerRequest request;
  private final Buffer body;
  private final boolean answerLost;

  Call(HttpServerRequest request, Buffer body, boolean answerLost) {
    this.request = request;
    this.body = body;
    this.answerLost = answerLost;
  }

  /** Returns the method's name. */
  public String method() {
    return request.method().name();
  }

  /** Returns the path as it was sent, percent-encoded. */
  public String path() {
    return request.path();
  }

  /** Returns the path and query as they were sent. */
  public String uri() {
    return request.uri();
  }

  /** Returns the decoded segments of the path. */
  public ImmutableList<String> segments() {
    return Splitter.on('/')
        .splitToStream(request.path().substring(1))
        .map(Call::decode)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the value of a header. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeader(name));
  }

  /** Returns the value of a query parameter. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(request.getParam(name));
  }

  /** Returns the body. */
  public Buffer body() {
    return body;
  }

  /**
   * Returns the body as JSON.
   *
   * @throws IllegalArgumentException if the body is no JSON
   */
  public JsonNode json() {
    return Json.parse(body.toString());
  }

  /** Returns whether the answer is to be lost after the operation took effect. */
  public boolean answerLost() {
    return answerLost;
  }

  /** Sends the answer, unless the fault that loses answers hits this call. */
  public void answer(Answer answer) {
    if (answerLost) {
      breakOff();
      return;
    }
    HttpServerResponse response = request.response().setStatusCode(answer.status());
    answer.headers().forEach(response::putHeader);
    response.end(answer.body());
  }

  /** Starts an answer that is sent in parts. */
  public HttpServerResponse startStream(String contentType) {
    return request
        .response()
        .setStatusCode(200)
        .setChunked(true)
        .putHeader("Content-Type", contentType);
  }

  /** Runs the action when the client goes away or the answer ends. */
  public void onClose(Runnable action) {
    request.response().closeHandler(unused -> action.run());
  }

  /** Closes the connection. */
  public void breakOff() {
    request.connection().close();
  }

  private static String decode(String segment) {
    return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
  }
}
