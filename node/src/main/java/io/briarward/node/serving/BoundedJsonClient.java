package io.briarward.node.serving;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.node.http.HttpClients;
import io.briarward.node.http.PooledRequests;
import io.briarward.node.http.ResponseBodies;
import io.briarward.node.platform.JsonHttpClient;
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
import io.vertx.core.http.RequestOptions;

/** HTTP client that fetches JSON documents of bounded size from upstreams. */
final class BoundedJsonClient implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int KEEP_ALIVE_SECONDS = 15;
  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 1;

  private final HttpClient client;
  private final LeavingObserver observer;
  private final int maxBytes;

  private BoundedJsonClient(HttpClient client, LeavingObserver observer, int maxBytes) {
    this.client = client;
    this.observer = observer;
    this.maxBytes = maxBytes;
  }

  static BoundedJsonClient create(Vertx vertx, LeavingObserver observer, int maxBytes) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(TIMEOUT_MILLIS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_UPSTREAM);
    return new BoundedJsonClient(HttpClients.create(vertx, options, pool), observer, maxBytes);
  }

  /**
   * Fetches a JSON document.
   *
   * @return the document; fails with {@code BODY_TOO_LARGE} if the body exceeds the maximum size,
   *     with {@code NOT_FOUND} if the status is not 200, and with the error of the client if the
   *     upstream does not respond
   */
  Single<JsonNode> get(Upstream upstream, String uri) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(upstream.host())
            .setPort(upstream.port())
            .setURI(uri)
            .setTimeout(TIMEOUT_MILLIS)
            .setIdleTimeout(TIMEOUT_MILLIS);
    return Single.create(
        emitter ->
            PooledRequests.open(client, options)
                .onSuccess(request -> observer.observe(upstream.id(), request))
                .compose(request -> request.send().compose(response -> readBody(request, response)))
                .map(JsonHttpClient::parse)
                .onSuccess(emitter::onSuccess)
                .onFailure(emitter::tryOnError));
  }

  @Override
  public void close() {
    client.close();
  }

  private Future<Buffer> readBody(HttpClientRequest request, HttpClientResponse response) {
    if (response.statusCode() != 200) {
      request.reset();
      return Future.failedFuture(
          Failure.ran(ErrorKind.NOT_FOUND, "upstream answered with status " + response.statusCode())
              .toException());
    }
    return ResponseBodies.read(request, response, maxBytes);
  }
}
