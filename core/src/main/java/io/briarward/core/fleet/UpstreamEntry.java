package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

/**
 * What an upstream says of itself where it registers.
 *
 * @param id names one upstream; a restarted one may have the same id
 * @param bornMillis when it started, in milliseconds since the Unix epoch; 0 when it does not say
 * @param slots how many requests it runs at once
 * @param leaving whether it is to get no new work
 * @param reclaimable whether the platform may take it away at short notice
 * @param modelVersions the version of the weights of each model it runs
 */
public record UpstreamEntry(
    String id,
    String service,
    String dataCentre,
    String host,
    int port,
    long bornMillis,
    int slots,
    boolean leaving,
    boolean reclaimable,
    ImmutableMap<String, Long> modelVersions) {

  /** Checks the fields. */
  public UpstreamEntry {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(service, "service");
    checkNotNull(dataCentre, "dataCentre");
    checkArgument(!host.isEmpty(), "host is empty");
    checkArgument(port > 0 && port <= 65_535, "port is %s", port);
    checkArgument(slots > 0, "slots is %s, expected > 0", slots);
    checkNotNull(modelVersions, "modelVersions");
  }

  /** Returns the version of the weights that it serves a model with, 0 when it does not run it. */
  public long version(String model) {
    return modelVersions.getOrDefault(model, 0L);
  }
}
