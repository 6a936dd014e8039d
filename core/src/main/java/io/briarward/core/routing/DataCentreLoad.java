package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The aggregate load of a service's upstreams in one data centre.
 *
 * @param dataCentre the id of the data centre
 * @param outstanding the work running or queued there, in requests of typical size
 * @param slots the number of requests that its upstreams can run at once
 * @param minWeightVersion the oldest weight version served by an upstream there
 * @param measuredAtMillis the time of the measurement
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
