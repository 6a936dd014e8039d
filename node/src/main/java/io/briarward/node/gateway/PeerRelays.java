package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.briarward.core.fleet.RelayHistory;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.live.UpstreamRequests;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Opens requests to other nodes that reach the upstreams of a service which this node does not.
 *
 * <p>Confined to the event loop.
 */
public final class PeerRelays implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 300; // Many round trips between data centres.
  private static final int KEEP_ALIVE_SECONDS = 8;
  private static final int MAX_CONNECTIONS_PER_NODE = 48;

  private final UpstreamRequests requests;
  private final RelayHistory<HostAndPort> history = RelayHistory.create();

  private PeerRelays(UpstreamRequests requests) {
    this.requests = requests;
  }

  /** Creates a client without open connections. */
  public static PeerRelays create(Vertx vertx) {
    return new PeerRelays(
        UpstreamRequests.create(
            vertx,
            new UpstreamRequests.Limits(
                CONNECT_TIMEOUT_MILLIS, KEEP_ALIVE_SECONDS, MAX_CONNECTIONS_PER_NODE)));
  }

  /** Handles a request that a node ran, or that it rejected or left without response. */
  void onResult(HostAndPort node, boolean ran, long nowMillis) {
    history.onResult(node, ran, nowMillis);
  }

  /**
   * Returns the address of a node that reaches a service, chosen at random to spread the load.
   *
   * @param excluded the addresses that must not be chosen
   */
  Optional<HostAndPort> choose(
      NodeRegistry nodes, String service, Set<HostAndPort> excluded, long nowMillis) {
    ImmutableList<HostAndPort> candidates =
        history.best(
            nodes.relayAddresses(service).stream()
                .map(HostAndPort::fromString)
                .filter(address -> !excluded.contains(address))
                .collect(ImmutableList.toImmutableList()),
            nowMillis);
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())));
  }

  /** Connects to a node and returns a request that has not been sent. */
  Future<HttpClientRequest> open(HostAndPort node, HttpMethod method, String uri) {
    checkNotNull(node, "node");
    return requests.open(node.getHost(), node.getPort(), method, uri);
  }

  @Override
  public void close() {
    requests.close();
  }
}
