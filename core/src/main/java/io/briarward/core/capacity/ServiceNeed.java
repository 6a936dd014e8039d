package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a service needs in a data centre.
 *
 * @param service the id of the service
 * @param min the number of upstreams kept running
 * @param max the number never exceeded
 * @param maxConcurrent how many requests one upstream runs at once
 * @param forecastConcurrent the concurrent requests expected when an upstream ordered now serves
 * @param heldConcurrent the largest forecast of the recent past, to which capacity is kept
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
    checkArgument(min >= 0 && max >= min, "min is %s and max is %s", min, max);
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
