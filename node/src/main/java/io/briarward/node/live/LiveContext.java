package io.briarward.node.live;

import io.briarward.node.admission.AdmissionGate;
import io.briarward.node.http.BodyReader;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.telemetry.Tracing;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * What every live request of a node shares.
 *
 * @param keysUsable whether this node can tell which keys are withdrawn
 * @param maxBodyBytes the largest body of a request
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
