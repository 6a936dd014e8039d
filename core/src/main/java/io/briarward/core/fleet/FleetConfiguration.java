package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * A version of a deployment's configuration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version increases with each change
 * @param organisationByKey the organisation of each key; empty if no organisations are defined
 * @param keysRequired whether any organisations are defined
 * @param limits the limits on callers' requests and connections
 */
public record FleetConfiguration(
    long version,
    ImmutableList<FleetRoute> routes,
    ImmutableMap<String, FleetService> services,
    ImmutableMap<String, String> organisationByKey,
    boolean keysRequired,
    CallerLimits limits) {

  /**
   * The limits on callers' requests and connections.
   *
   * @param maxHeaderBytes the maximum total size of a request's headers
   * @param maxBodyBytes the maximum size of a request's body
   * @param idleTimeoutMillis the time for which a connection may be idle
   */
  public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMillis) {
    /** Checks the fields. */
    public CallerLimits {
      checkArgument(maxHeaderBytes > 0, "maxHeaderBytes is %s, expected > 0", maxHeaderBytes);
      checkArgument(maxBodyBytes > 0, "maxBodyBytes is %s, expected > 0", maxBodyBytes);
    }
  }

  /** Checks the fields. */
  public FleetConfiguration {
    checkArgument(version > 0, "version is %s, expected > 0", version);
    checkNotNull(routes, "routes");
    checkNotNull(services, "services");
    checkNotNull(organisationByKey, "organisationByKey");
    checkNotNull(limits, "limits");
  }

  /** Returns the host's route with the longest path prefix that matches, or empty if none does. */
  public Optional<FleetRoute> route(String host, String path) {
    FleetRoute best = null;
    for (FleetRoute route : routes) {
      if (route.host().equals(host)
          && path.startsWith(route.pathPrefix())
          && (best == null || route.pathPrefix().length() > best.pathPrefix().length())) {
        best = route;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns whether this configuration and another one send resumable streams of the same path to
   * different services.
   */
  public boolean movesStreams(FleetConfiguration other) {
    return movesStreams(this, other) || movesStreams(other, this);
  }

  private static boolean movesStreams(FleetConfiguration from, FleetConfiguration to) {
    return from.routes().stream()
        .filter(route -> route.kind() == FleetRoute.Kind.RESUMABLE_STREAM)
        .anyMatch(
            route ->
                to.route(route.host(), route.pathPrefix())
                    .filter(match -> !match.services().equals(route.services()))
                    .isPresent());
  }

  /** Returns the organisation that the key belongs to, or empty if the key is unknown. */
  public Optional<String> organisation(String key) {
    return Optional.ofNullable(organisationByKey.get(key));
  }
}
