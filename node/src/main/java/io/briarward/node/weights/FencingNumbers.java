package io.briarward.node.weights;

import java.util.OptionalLong;

/** Provides the fencing numbers of the weight swap leases that this node holds. */
@FunctionalInterface
public interface FencingNumbers {
  /**
   * Returns the fencing number of the lease for the service's swaps in this data centre, or empty
   * if this node does not hold the lease.
   */
  OptionalLong current(String service);
}
