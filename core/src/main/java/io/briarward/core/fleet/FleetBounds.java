package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on what all nodes together send to cold upstreams and evacuated data centres.
 *
 * @param coldFactor the factor on the rate that a cold upstream tolerates
 * @param coldSlack the number of requests in any second beyond that rate times the factor
 * @param evacuationMillis the time after which nothing is sent to an evacuated data centre
 */
public record FleetBounds(double coldFactor, double coldSlack, long evacuationMillis) {
  /** The bounds of the known deployments. */
  public static final FleetBounds DEFAULT = new FleetBounds(1.5, 5, 5_000);

  /** Checks the fields. */
  public FleetBounds {
    checkArgument(
        coldFactor >= 0 && Double.isFinite(coldFactor),
        "coldFactor is %s, expected a finite number >= 0",
        coldFactor);
    checkArgument(
        coldSlack >= 0 && Double.isFinite(coldSlack),
        "coldSlack is %s, expected a finite number >= 0",
        coldSlack);
    checkArgument(evacuationMillis > 0, "evacuationMillis is %s, expected > 0", evacuationMillis);
  }

  /** Returns the number of requests that a cold upstream may get in any sliding second. */
  public double coldRequestsPerSecond(double toleratedPerSecond) {
    return toleratedPerSecond * coldFactor + coldSlack;
  }
}
