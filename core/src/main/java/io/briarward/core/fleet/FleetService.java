package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A service of a deployment.
 *
 * @param name unique within a configuration
 * @param maxConnections the maximum number of connections to one upstream from all nodes together
 * @param tokenCapacity the number of tokens of running requests and cached prompts that fit into
 *     the memory of one upstream; 0 for a plain service
 * @param models the models that its upstreams run, empty for a plain service
 * @param scaling the limits for ordering upstreams, empty if none may be ordered
 * @param warmup how its upstreams warm up, empty if they are never cold
 * @param defects why values of the service are not used, empty if all are valid
 */
public record FleetService(
    String name,
    int maxConnections,
    long tokenCapacity,
    ImmutableList<String> models,
    Optional<Scaling> scaling,
    Optional<Warmup> warmup,
    ImmutableList<String> defects) {

  /** Creates a service whose upstreams are never cold. */
  public FleetService(
      String name,
      int maxConnections,
      long tokenCapacity,
      ImmutableList<String> models,
      Optional<Scaling> scaling) {
    this(
        name, maxConnections, tokenCapacity, models, scaling, Optional.empty(), ImmutableList.of());
  }

  /**
   * How an upstream warms up that starts while there is traffic.
   *
   * @param durationMillis for how long it is cold
   * @param requestsPerSecond what it tolerates from all nodes together while it is cold
   */
  public record Warmup(long durationMillis, double requestsPerSecond) {
    /** Checks the fields. */
    public Warmup {
      checkArgument(durationMillis > 0, "durationMillis is %s, expected > 0", durationMillis);
      checkArgument(
          requestsPerSecond > 0 && Double.isFinite(requestsPerSecond),
          "requestsPerSecond is %s, expected a finite number > 0",
          requestsPerSecond);
    }
  }

  /**
   * The limits for ordering upstreams.
   *
   * @param minPerDataCentre the minimum number in each data centre
   * @param maxPerDataCentre the maximum number in each data centre
   * @param startupMillis the time until a new upstream can serve requests
   */
  public record Scaling(int minPerDataCentre, int maxPerDataCentre, long startupMillis) {
    /** Checks the fields. */
    public Scaling {
      checkArgument(
          minPerDataCentre >= 0, "minPerDataCentre is %s, expected >= 0", minPerDataCentre);
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
    checkNotNull(warmup, "warmup");
    checkNotNull(defects, "defects");
  }
}
