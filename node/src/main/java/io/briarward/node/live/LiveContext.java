package io.briarward.node.live;

import io.briarward.node.admission.AdmissionGate;
import io.briarward.node.http.BodyReader;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.telemetry.Tracing;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The dependencies and limits that all live requests of a node share.
 *
 * @param scheduler the event loop, which runs all callbacks
 * @param upstreams opens requests to upstreams
 * @param selector selects the upstream of each attempt
 * @param gate admits requests
 * @param retryBudgets the retry budget of each service
 * @param usage records billed usage
 * @param active the requests in flight
 * @param keysUsable whether this node can tell which keys have been withdrawn
 * @param metrics the metrics of the node
 * @param tracing creates spans
 * @param bodies reads request bodies
 * @param maxBodyBytes the maximum size of a request body, in bytes
 */
public record LiveContext(
    Scheduler scheduler,
    UpstreamRequests upstreams,
    UpstreamSelector selector,
    AdmissionGate gate,
    RetryBudgets retryBudgets,
    UsageRecorder usage,
    ActiveRequests active,
    BooleanSupplier keysUsable,
    Metrics metrics,
    Tracing tracing,
    BodyReader bodies,
    long maxBodyBytes) {

  /** Returns the time of the node's monotonic clock in milliseconds. */
  public long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
