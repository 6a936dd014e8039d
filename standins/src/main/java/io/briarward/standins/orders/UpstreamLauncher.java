package io.briarward.standins.orders;

import io.briarward.standins.http.RunningStandIn;
import io.reactivex.rxjava3.core.Single;

/** Starts ordered upstreams. */
@FunctionalInterface
public interface UpstreamLauncher {
  /** Starts an upstream of the service, which listens once the result is emitted. */
  Single<RunningStandIn> launch(String service, String upstreamId);
}
