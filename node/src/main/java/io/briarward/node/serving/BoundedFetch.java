package io.briarward.node.serving;

import com.fasterxml.jackson.databind.JsonNode;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.node.platform.JsonHttpClient;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/** Fetches small JSON documents from upstreams. */
final class BoundedFetch implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int KEEP_ALIVE_SECONDS = 15;
  private static final int CONNECTIONS_PER_UPSTREAM = 1;

  private final HttpClient client;
  private final int maxBytes;

  private BoundedFetch(HttpClient client, int maxBytes) {
    this.client = client;
    this.maxBytes = maxBytes;
  }

  static BoundedFetch create(Vertx vertx, int maxBytes) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(TIMEOUT_MILLIS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_UPSTREAM);
    return new BoundedFetch(vertx.createHttpClient(options, pool), maxBytes);
  }

  /**
   * Fetches a document.
   *
   * @return signals a failure of kind {@code BODY_TOO_LARGE} for a larger one and {@code NOT_FOUND}
   *     for a status other than 200
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
            client
                .request(options)
                .compose(request -> request.send().compose(response -> read(request, response)))
                .map(JsonHttpClient::parse)
                .onSuccess(emitter::onSuccess)
                .onFailure(emitter::tryOnError));
  }

  @Override
  public void close() {
    client.close();
  }

  private Future<Buffer> read(HttpClientRequest request, HttpClientResponse response) {
    if (response.statusCode() != 200) {
      request.reset();
      return Future.failedFuture(
          Failure.ran(ErrorKind.NOT_FOUND, "status " + response.statusCode()).toException());
    }
    Promise<Buffer> whole = Promise.promise();
    Buffer received = Buffer.buffer();
    response.handler(
        bytes -> {
          if (received.length() + bytes.length() <= maxBytes) {
            received.appendBuffer(bytes);
          } else if (whole.tryFail(tooLarge())) {
            request.reset();
          }
        });
    response.exceptionHandler(whole::tryFail);
    response.endHandler(unused -> whole.tryComplete(received));
    return whole.future();
  }

  private Throwable tooLarge() {
    return Failure.ran(ErrorKind.BODY_TOO_LARGE, "more than " + maxBytes + " bytes").toException();
  }
}
