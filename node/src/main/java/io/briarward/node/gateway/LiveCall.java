package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.briarward.core.fleet.FleetRoute;
import io.briarward.core.memory.ByteBlocks;
import io.briarward.core.quarantine.RequestFingerprint;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.Optional;

/**
 * A live request that was authorised and may be sent to an upstream.
 *
 * @param id the request id that the caller gave to this attempt
 * @param organisation the organisation that is billed; empty on an open route
 * @param route the route that matches the request
 * @param method the HTTP method
 * @param host the host that the caller named
 * @param uri the path and query, unchanged
 * @param headers the headers to forward, without credentials
 * @param body the complete body
 * @param resumption present if the request continues a stream after an event
 * @param relayed whether another node sent the request on behalf of the caller
 * @param maxAttempts the maximum number of upstreams that may run the request
 * @param arrivedAtMillis the arrival time, in milliseconds of the node's monotonic clock
 * @param deadlineMillis the deadline of the response, in milliseconds of the node's monotonic clock
 */
public record LiveCall(
    String id,
    Optional<String> organisation,
    FleetRoute route,
    HttpMethod method,
    String host,
    String uri,
    ImmutableList<Map.Entry<String, String>> headers,
    ByteBlocks body,
    Optional<Resumption> resumption,
    boolean relayed,
    int maxAttempts,
    long arrivedAtMillis,
    long deadlineMillis) {

  /**
   * What a caller says that takes up a stream.
   *
   * @param firstRequestId the id of the request that brought the stream's first event; empty if the
   *     caller does not name it
   * @param lastEventId the id of the last event that the caller received
   */
  public record Resumption(Optional<String> firstRequestId, String lastEventId) {
    /** Validates the components. */
    public Resumption {
      checkNotNull(firstRequestId, "firstRequestId");
      checkNotNull(lastEventId, "lastEventId");
    }
  }

  /** Returns what identifies requests of the same content; computed at each call. */
  RequestFingerprint fingerprint() {
    return RequestFingerprint.of(organisation, method.name(), host, uri, body);
  }

  /** Validates the components. */
  public LiveCall {
    checkNotNull(id, "id");
    checkNotNull(organisation, "organisation");
    checkNotNull(route, "route");
    checkNotNull(method, "method");
    checkNotNull(host, "host");
    checkNotNull(uri, "uri");
    checkNotNull(headers, "headers");
    checkNotNull(body, "body");
    checkNotNull(resumption, "resumption");
    checkArgument(maxAttempts > 0, "maxAttempts is %s, expected > 0", maxAttempts);
  }
}
