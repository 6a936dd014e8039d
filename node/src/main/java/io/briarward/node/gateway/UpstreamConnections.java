package io.briarward.node.gateway;

import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.live.UpstreamRequests;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;

/** Opens requests to registered upstreams over pooled connections. */
public final class UpstreamConnections implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 500; // Ten round trips between data centres.
  private static final int KEEP_ALIVE_SECONDS = 8; // Upper bound; upstreams announce less.

  /** A batch fills the slots of an upstream three times. */
  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 48;

  private final UpstreamRequests requests;

  private UpstreamConnections(UpstreamRequests requests) {
    this.requests = requests;
  }

  /** Creates a client without open connections. */
  public static UpstreamConnections create(Vertx vertx) {
    return new UpstreamConnections(
        UpstreamRequests.create(
            vertx,
            new UpstreamRequests.Limits(
                CONNECT_TIMEOUT_MILLIS, KEEP_ALIVE_SECONDS, MAX_CONNECTIONS_PER_UPSTREAM)));
  }

  /** Connects to {@code upstream} and returns a request that has not been sent. */
  public Future<HttpClientRequest> open(UpstreamEntry upstream, HttpMethod method, String uri) {
    return requests.open(upstream.host(), upstream.port(), method, uri);
  }

  @Override
  public void close() {
    requests.close();
  }
}
