package io.briarward.node.live;

import static com.google.common.base.Preconditions.checkArgument;

import io.briarward.core.configuration.Upstream;
import io.briarward.node.http.HttpClients;
import io.briarward.node.http.PooledRequests;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.function.BiConsumer;

/** Opens requests to upstreams over pooled connections. */
public final class UpstreamRequests implements AutoCloseable {
  private static final Limits DEFAULT_LIMITS = new Limits(1_000, 15, 1_024);

  private final HttpClient client;
  private final BiConsumer<String, HttpClientRequest> observer;

  /**
   * The limits of the connection pool.
   *
   * @param connectTimeoutMillis the time-out of opening a connection, in milliseconds, > 0
   * @param keepAliveSeconds how long an idle connection is kept, in seconds, > 0, unless the
   *     upstream announces a shorter time
   * @param maxConnectionsPerUpstream the maximum number of connections to one upstream, > 0
   */
  public record Limits(
      int connectTimeoutMillis, int keepAliveSeconds, int maxConnectionsPerUpstream) {
    /** Validates the components. */
    public Limits {
      checkArgument(
          connectTimeoutMillis > 0,
          "connectTimeoutMillis is %s, expected > 0",
          connectTimeoutMillis);
      checkArgument(keepAliveSeconds > 0, "keepAliveSeconds is %s, expected > 0", keepAliveSeconds);
      checkArgument(
          maxConnectionsPerUpstream > 0,
          "maxConnectionsPerUpstream is %s, expected > 0",
          maxConnectionsPerUpstream);
    }
  }

  private UpstreamRequests(HttpClient client, BiConsumer<String, HttpClientRequest> observer) {
    this.client = client;
    this.observer = observer;
  }

  /**
   * Creates a client with the default limits and without open connections.
   *
   * @param observer receives the id of an upstream and each request to it before it is sent
   */
  public static UpstreamRequests create(
      Vertx vertx, BiConsumer<String, HttpClientRequest> observer) {
    return create(vertx, DEFAULT_LIMITS, observer);
  }

  /** Creates a client with the given limits and without open connections. */
  public static UpstreamRequests create(Vertx vertx, Limits limits) {
    return create(vertx, limits, (upstreamId, request) -> {});
  }

  private static UpstreamRequests create(
      Vertx vertx, Limits limits, BiConsumer<String, HttpClientRequest> observer) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(limits.connectTimeoutMillis())
            .setKeepAliveTimeout(limits.keepAliveSeconds())
            .setDecompressionSupported(false);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(limits.maxConnectionsPerUpstream());
    return new UpstreamRequests(HttpClients.create(vertx, options, pool), observer);
  }

  /** Connects to {@code upstream} and returns a request that has not been sent. */
  public Future<HttpClientRequest> open(Upstream upstream, HttpMethod method, String uri) {
    return open(upstream.host(), upstream.port(), method, uri)
        .onSuccess(request -> observer.accept(upstream.id(), request));
  }

  /** Connects to an address and returns a request that has not been sent. */
  public Future<HttpClientRequest> open(String host, int port, HttpMethod method, String uri) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(host)
            .setPort(port)
            .setURI(uri)
            .setFollowRedirects(false);
    return PooledRequests.open(client, options);
  }

  @Override
  public void close() {
    client.close();
  }
}
