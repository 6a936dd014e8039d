package io.briarward.node.gateway;

import io.briarward.core.fleet.UpstreamEntry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/** Opens requests to upstreams over connections that are kept between requests. */
public final class UpstreamConnections implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 500; // Ten round trips between data centres.
  private static final int KEEP_ALIVE_SECONDS = 8; // Upstreams state shorter times themselves.
  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 48; // A batch fills the slots thrice.

  private final HttpClient client;

  private UpstreamConnections(HttpClient client) {
    this.client = client;
  }

  /** Returns a client without connections. */
  public static UpstreamConnections create(Vertx vertx) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
            .setDecompressionSupported(false);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_UPSTREAM);
    return new UpstreamConnections(vertx.createHttpClient(options, pool));
  }

  /** Connects and returns a request of which nothing was sent yet. */
  public Future<HttpClientRequest> open(UpstreamEntry upstream, HttpMethod method, String uri) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(upstream.host())
            .setPort(upstream.port())
            .setURI(uri)
            .setFollowRedirects(false);
    return client.request(options);
  }

  @Override
  public void close() {
    client.close();
  }
}
