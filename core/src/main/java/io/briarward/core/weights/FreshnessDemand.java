package io.briarward.core.weights;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The required freshness of the weights of a model.
 *
 * @param requiredVersion the oldest version that every open batch accepts
 * @param allowedLag the number of versions by which weights may be older than the announced ones
 *     when a batch is submitted, at least 0
 */
public record FreshnessDemand(long requiredVersion, long allowedLag) {
  /** Requires the announced weights. */
  public static final FreshnessDemand NEWEST = new FreshnessDemand(0, 0);

  /** Checks the fields. */
  public FreshnessDemand {
    checkArgument(allowedLag >= 0, "allowedLag is %s, expected >= 0", allowedLag);
  }
}
