package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.ToDoubleFunction;

/**
 * The load of the upstreams of a service at one moment.
 *
 * @param occupancy returns the number of requests that run or wait at an upstream; only those of
 *     this node if its requests are not paced
 * @param slowness returns how long work takes at an upstream relative to the usual time, which is 1
 */
public record ServiceLoad(
    ToDoubleFunction<UpstreamEntry> occupancy, ToDoubleFunction<UpstreamEntry> slowness) {
  /** Validates the components. */
  public ServiceLoad {
    checkNotNull(occupancy, "occupancy");
    checkNotNull(slowness, "slowness");
  }
}
