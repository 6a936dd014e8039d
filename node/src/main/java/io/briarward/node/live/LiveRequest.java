package io.briarward.node.live;

import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * A request that was read, matched to a route and authenticated.
 *
 * @param id the id given to it by this node
 * @param deadlineMillis its due time on the node's clock
 * @param idempotent whether it may run more than once
 * @param body the whole body when it was read ahead, empty when it streams
 */
record LiveRequest(
    String id,
    Route route,
    Service service,
    Caller caller,
    long startMillis,
    long deadlineMillis,
    boolean idempotent,
    Optional<Buffer> body) {

  LiveRequest withBody(Buffer whole) {
    return new LiveRequest(
        id, route, service, caller, startMillis, deadlineMillis, idempotent, Optional.of(whole));
  }
}
