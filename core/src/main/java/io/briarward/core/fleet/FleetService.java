package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A service of a deployment.
 *
 * @param name unique within a configuration
 * @param maxConnections how many connections one upstream takes from all nodes together
 * @param tokenCapacity how many tokens of running requests and kept prompts the memory of one
 *     upstream holds; 0 for a plain service
 * @param models the models that its upstreams run, empty for a plain service
 * @param scaling the limits in which its upstreams may be ordered
 */
public record FleetService(
    String name,
    int maxConnections,
    long tokenCapacity,
    ImmutableList<String> models,
    Optional<Scaling> scaling) {

  /**
   * The limits for ordering upstreams.
   *
   * @param minPerDataCentre the least number in each data centre
   * @param maxPerDataCentre the largest number in each data centre
   * @param startupMillis how long a new upstream takes until it serves
   */
  public record Scaling(int minPerDataCentre, int maxPerDataCentre, long startupMillis) {
    /** Checks the fields. */
    public Scaling {
      checkArgument(minPerDataCentre >= 0, "minPerDataCentre is %s", minPerDataCentre);
      checkArgument(
          maxPerDataCentre >= minPerDataCentre,
          "maxPerDataCentre is %s, expected >= %s",
          maxPerDataCentre,
          minPerDataCentre);
    }
  }

  /** Checks the fields. */
  public FleetService {
    checkNotNull(name, "name");
    checkArgument(maxConnections > 0, "maxConnections is %s, expected > 0", maxConnections);
    checkArgument(tokenCapacity >= 0, "tokenCapacity is %s, expected >= 0", tokenCapacity);
    checkNotNull(models, "models");
    checkNotNull(scaling, "scaling");
  }
}
