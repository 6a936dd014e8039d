package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The capacity that a service needs in one data centre.
 *
 * @param service the id of the service
 * @param min the least number of upstreams to keep running
 * @param max the largest number of upstreams
 * @param maxConcurrent the number of requests that one upstream can run at once
 * @param forecastConcurrent the concurrent requests expected by the time an upstream ordered now
 *     serves
 * @param heldConcurrent the largest recent forecast, below which capacity is not reduced
 * @param reclaimableShare the largest share of the work that may run on reclaimable upstreams, from
 *     0 to 1
 */
public record ServiceNeed(
    String service,
    int min,
    int max,
    int maxConcurrent,
    double forecastConcurrent,
    double heldConcurrent,
    double reclaimableShare) {
  /** Checks the fields. */
  public ServiceNeed {
    checkArgument(!service.isEmpty(), "service is empty");
    checkArgument(
        min >= 0 && max >= min, "min is %s and max is %s, expected 0 <= min <= max", min, max);
    checkArgument(maxConcurrent > 0, "maxConcurrent is %s, expected > 0", maxConcurrent);
    checkArgument(
        forecastConcurrent >= 0, "forecastConcurrent is %s, expected >= 0", forecastConcurrent);
    checkArgument(heldConcurrent >= 0, "heldConcurrent is %s, expected >= 0", heldConcurrent);
    checkArgument(
        reclaimableShare >= 0 && reclaimableShare <= 1,
        "reclaimableShare is %s, expected 0 to 1",
        reclaimableShare);
  }
}
