package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How fresh the weights of a model must be.
 *
 * @param requiredVersion the oldest version that all open batches take
 * @param allowedLag by how many versions weights may be older than the announced ones when a batch
 *     is submitted
 */
public record FreshnessDemand(long requiredVersion, long allowedLag) {
  /** Only announced weights will do. */
  public static final FreshnessDemand NEWEST = new FreshnessDemand(0, 0);

  /** Checks the fields. */
  public FreshnessDemand {
    checkArgument(allowedLag >= 0, "allowedLag is %s, expected >= 0", allowedLag);
  }
}
