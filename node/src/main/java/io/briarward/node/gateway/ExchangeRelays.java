package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import io.briarward.node.http.CallerResponse;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The attempts of one live request at other nodes. Confined to the event loop. */
final class ExchangeRelays {
  /** The number of other nodes that are asked to run a request. */
  private static final int MAX_NODES = 2;

  private final LiveForwarder.Context context;
  private final HttpServerRequest downstream;
  private final LiveCall call;
  private final CallerResponse response;
  private final Set<HostAndPort> triedNodes = new HashSet<>();
  private Optional<RelayedAttempt> current = Optional.empty();

  ExchangeRelays(
      LiveForwarder.Context context,
      HttpServerRequest downstream,
      LiveCall call,
      CallerResponse response) {
    this.context = checkNotNull(context, "context");
    this.downstream = checkNotNull(downstream, "downstream");
    this.call = checkNotNull(call, "call");
    this.response = checkNotNull(response, "response");
  }

  /**
   * Sends the request to another node that reaches the service, unless another node sent it here.
   *
   * @param maxAttempts the number of upstreams on which the other node may run the request, > 0
   * @return whether there is such a node
   */
  boolean start(String service, int maxAttempts, RelayedAttempt.Listener listener) {
    if (call.relayed() || triedNodes.size() >= MAX_NODES) {
      return false;
    }
    Optional<HostAndPort> node =
        context.relays().choose(context.nodes(), service, triedNodes, context.nowMillis());
    if (node.isEmpty()) {
      return false;
    }
    triedNodes.add(node.get());
    current =
        Optional.of(
            new RelayedAttempt(
                context, downstream, call, node.get(), response, maxAttempts, listener));
    current.get().start();
    return true;
  }

  /** Returns whether another node may be running the request. */
  boolean inProgress() {
    return current.isPresent();
  }

  /** Cancels the attempt in progress, if any; its listener is not called. */
  void cancel() {
    current.ifPresent(RelayedAttempt::cancel);
    current = Optional.empty();
  }

  /** Handles the end of the attempt in progress, at which the node ran the request or not. */
  void onEnded(HostAndPort node, boolean ran) {
    current = Optional.empty();
    context.relays().onResult(node, ran, context.nowMillis());
  }
}
