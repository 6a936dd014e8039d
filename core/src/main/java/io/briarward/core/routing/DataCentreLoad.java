package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The aggregate load of a service's upstreams in another data centre.
 *
 * @param dataCentre the data centre
 * @param outstanding requests running or queued there
 * @param slots requests that its upstreams run at once
 * @param minWeightVersion the oldest weight version that an upstream there serves with
 * @param measuredAtMillis when it was measured
 */
public record DataCentreLoad(
    String dataCentre,
    double outstanding,
    double slots,
    long minWeightVersion,
    long measuredAtMillis) {
  /** Checks the fields. */
  public DataCentreLoad {
    checkNotNull(dataCentre, "dataCentre");
    checkArgument(outstanding >= 0, "outstanding is %s, expected >= 0", outstanding);
    checkArgument(slots >= 0, "slots is %s, expected >= 0", slots);
  }
}
