package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import io.briarward.standins.http.Json;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.concurrent.TimeUnit;

/** Sends HTTP requests to processes on the loopback interface. Thread-safe. */
final class HttpCalls implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final int MAX_CONNECTIONS_PER_PORT = 512;
  private static final long TIMEOUT_SECONDS = 60;

  private final HttpClient client;

  private HttpCalls(HttpClient client) {
    this.client = client;
  }

  static HttpCalls create(Vertx vertx) {
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_PORT);
    return new HttpCalls(vertx.createHttpClient(new HttpClientOptions(), pool));
  }

  /**
   * An HTTP request to a local port.
   *
   * @param method the HTTP method
   * @param port the port on the loopback interface
   * @param uri the path and query
   * @param headers the header fields, at most one value for each name
   * @param body the body, possibly empty
   */
  record Request(
      HttpMethod method, int port, String uri, ImmutableMap<String, String> headers, String body) {
    static Request get(int port, String uri) {
      return new Request(HttpMethod.GET, port, uri, ImmutableMap.of(), "");
    }

    static Request of(HttpMethod method, int port, String uri, JsonNode body) {
      return new Request(method, port, uri, ImmutableMap.of(), body.toString());
    }

    Request withHeader(String name, String value) {
      ImmutableMap<String, String> all =
          ImmutableMap.<String, String>builder().putAll(headers).put(name, value).buildOrThrow();
      return new Request(method, port, uri, all, body);
    }

    Request withBearer(String secret) {
      return withHeader("Authorization", "Bearer " + secret);
    }
  }

  /**
   * A complete response.
   *
   * @param status the HTTP status code
   * @param body the complete body
   */
  record Reply(int status, String body) {
    JsonNode json() {
      return Json.parse(body);
    }
  }

  /** Sends a request and returns the complete response; fails on a lost connection or time-out. */
  Single<Reply> send(Request request) {
    return Single.<Reply>create(
            emitter ->
                client
                    .request(request.method(), request.port(), HOST, request.uri())
                    .compose(httpRequest -> sendRequest(httpRequest, request))
                    .onSuccess(emitter::onSuccess)
                    .onFailure(emitter::tryOnError))
        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Sends a request, waits for the response and returns its JSON, an empty object for an empty
   * body.
   *
   * @throws IllegalStateException if the status is 300 or above
   */
  JsonNode sendForJson(Request request) {
    Reply reply = send(request).blockingGet();
    if (reply.status() >= 300) {
      throw new IllegalStateException(request.method() + " " + request.uri() + " failed: " + reply);
    }
    return reply.body().isEmpty() ? Json.object() : reply.json();
  }

  @Override
  public void close() {
    client.close();
  }

  private static Future<Reply> sendRequest(HttpClientRequest httpRequest, Request request) {
    request.headers().forEach(httpRequest::putHeader);
    return httpRequest.send(Buffer.buffer(request.body())).compose(HttpCalls::readReply);
  }

  private static Future<Reply> readReply(HttpClientResponse response) {
    return response.body().map(body -> new Reply(response.statusCode(), body.toString()));
  }
}
