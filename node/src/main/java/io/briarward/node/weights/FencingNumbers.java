package io.briarward.node.weights;

import java.util.OptionalLong;

/** Tells whether this node may order the swaps of a service in its data centre. */
@FunctionalInterface
public interface FencingNumbers {
  /** Returns the number of the lease for the service's swaps while this node holds it. */
  OptionalLong current(String service);
}
