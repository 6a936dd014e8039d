package io.briarward.node.gateway;

import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.live.UpstreamRequests;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;

/** Opens requests to registered upstreams over pooled connections. */
public final class UpstreamConnections implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 500; // Ten round trips between data centres.
  private static final int KEEP_ALIVE_SECONDS = 8; // Upper bound; upstreams announce less.

  /** A batch fills the slots of an upstream three times. */
  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 48;

  private final UpstreamRequests requests;
  private final NetClient probes;

  private UpstreamConnections(UpstreamRequests requests, NetClient probes) {
    this.requests = requests;
    this.probes = probes;
  }

  /** Creates a client without open connections. */
  public static UpstreamConnections create(Vertx vertx) {
    return new UpstreamConnections(
        UpstreamRequests.create(
            vertx,
            new UpstreamRequests.Limits(
                CONNECT_TIMEOUT_MILLIS, KEEP_ALIVE_SECONDS, MAX_CONNECTIONS_PER_UPSTREAM)),
        vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS)));
  }

  /** Connects to {@code upstream} and returns a request that has not been sent. */
  public Future<HttpClientRequest> open(UpstreamEntry upstream, HttpMethod method, String uri) {
    return requests.open(upstream.host(), upstream.port(), method, uri);
  }

  /** Opens a connection to {@code upstream} and closes it; fails if none can be opened. */
  Future<Void> probe(UpstreamEntry upstream) {
    return probes.connect(upstream.port(), upstream.host()).compose(NetSocket::close);
  }

  @Override
  public void close() {
    probes.close();
    requests.close();
  }
}
