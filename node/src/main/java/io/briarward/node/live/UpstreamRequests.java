package io.briarward.node.live;

import static com.google.common.base.Preconditions.checkArgument;

import io.briarward.core.configuration.Upstream;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/** Opens requests to upstreams over pooled connections. */
public final class UpstreamRequests implements AutoCloseable {
  private static final Limits DEFAULT_LIMITS = new Limits(1_000, 15, 1_024);

  private final HttpClient client;

  /**
   * The bounds of the connections.
   *
   * @param connectTimeoutMillis how long a new connection may take
   * @param keepAliveSeconds how long a connection is kept idle, unless the upstream states less
   * @param maxConnectionsPerUpstream how many connections one upstream gets
   */
  public record Limits(
      int connectTimeoutMillis, int keepAliveSeconds, int maxConnectionsPerUpstream) {
    /** Checks the fields. */
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

  private UpstreamRequests(HttpClient client) {
    this.client = client;
  }

  /** Returns a client without connections. */
  public static UpstreamRequests create(Vertx vertx) {
    return create(vertx, DEFAULT_LIMITS);
  }

  /** Returns a client without connections, with bounds of its own. */
  public static UpstreamRequests create(Vertx vertx, Limits limits) {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(limits.connectTimeoutMillis())
            .setKeepAliveTimeout(limits.keepAliveSeconds())
            .setDecompressionSupported(false);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(limits.maxConnectionsPerUpstream());
    return new UpstreamRequests(vertx.createHttpClient(options, pool));
  }

  /** Connects and returns a request of which nothing was sent yet. */
  public Future<HttpClientRequest> open(Upstream upstream, HttpMethod method, String uri) {
    return open(upstream.host(), upstream.port(), method, uri);
  }

  /** Connects to an address and returns a request of which nothing was sent yet. */
  public Future<HttpClientRequest> open(String host, int port, HttpMethod method, String uri) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(host)
            .setPort(port)
            .setURI(uri)
            .setFollowRedirects(false);
    return client.request(options);
  }

  @Override
  public void close() {
    client.close();
  }
}
