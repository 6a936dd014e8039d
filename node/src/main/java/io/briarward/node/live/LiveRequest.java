package io.briarward.node.live;

import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * A request that was read, matched to a route and authenticated.
 *
 * @param id the id given to it by this node
 * @param partner the partner that the caller's organisation belongs to
 * @param deadlineMillis its due time on the node's clock
 * @param idempotent whether it may run more than once
 * @param body the whole body when it was read ahead, empty when it streams
 */
record LiveRequest(
    String id,
    Route route,
    Service service,
    Caller caller,
    Partner partner,
    long startMillis,
    long deadlineMillis,
    boolean idempotent,
    Optional<Buffer> body) {

  LiveRequest withBody(Buffer whole) {
    return new LiveRequest(
        id,
        route,
        service,
        caller,
        partner,
        startMillis,
        deadlineMillis,
        idempotent,
        Optional.of(whole));
  }

  /** Returns the prompt of a request to a model, if its body was read ahead. */
  Optional<Prompt> prompt() {
    return service.kind() == Service.Kind.MODEL ? body.flatMap(Prompt::read) : Optional.empty();
  }
}
