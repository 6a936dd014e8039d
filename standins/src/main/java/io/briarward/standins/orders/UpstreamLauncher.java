package io.briarward.standins.orders;

import io.briarward.standins.http.RunningStandIn;
import io.reactivex.rxjava3.core.Single;

/** Starts the upstream that was ordered. */
@FunctionalInterface
public interface UpstreamLauncher {
  /** Starts an upstream of the service. */
  Single<RunningStandIn> launch(String service, String upstreamId);
}
