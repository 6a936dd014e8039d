package io.briarward.node.live;

import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * A request that was matched to a route and authenticated.
 *
 * @param id the request id that this node assigned
 * @param route the route that matches the request
 * @param service the service of the route
 * @param caller the authenticated caller
 * @param partner the partner that the caller's organisation belongs to
 * @param startMillis the arrival time, in milliseconds of the node's monotonic clock
 * @param deadlineMillis the deadline, in milliseconds of the node's monotonic clock
 * @param idempotent whether the request may run more than once
 * @param body the complete body if it was buffered; empty if it is streamed
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

  /** Returns the prompt of a request to a model; empty if the body was not buffered. */
  Optional<Prompt> prompt() {
    return service.kind() == Service.Kind.MODEL ? body.flatMap(Prompt::read) : Optional.empty();
  }
}
