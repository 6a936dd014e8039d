package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.fleet.FleetRoute;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.Optional;

/**
 * A live request that may be sent to an upstream.
 *
 * @param id the caller's id of this attempt
 * @param organisation who pays; empty on an open route
 * @param host the host that the caller named
 * @param uri the path and query, unchanged
 * @param headers the headers that pass through, without any key
 * @param arrivedAtMillis when it arrived, on the node's clock
 * @param deadlineMillis when its answer stops being of use, on the node's clock
 */
public record LiveCall(
    String id,
    Optional<String> organisation,
    FleetRoute route,
    HttpMethod method,
    String host,
    String uri,
    ImmutableList<Map.Entry<String, String>> headers,
    Buffer body,
    long arrivedAtMillis,
    long deadlineMillis) {

  /** Checks the fields. */
  public LiveCall {
    checkNotNull(id, "id");
    checkNotNull(organisation, "organisation");
    checkNotNull(route, "route");
    checkNotNull(method, "method");
    checkNotNull(host, "host");
    checkNotNull(uri, "uri");
    checkNotNull(headers, "headers");
    checkNotNull(body, "body");
  }
}
