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
 * @param version grows with each change
 * @param organisationByKey the organisation of each key; keyless when no organisations are defined
 * @param keysRequired whether organisations are defined at all
 * @param limits what callers may send
 */
public record FleetConfiguration(
    long version,
    ImmutableList<FleetRoute> routes,
    ImmutableMap<String, FleetService> services,
    ImmutableMap<String, String> organisationByKey,
    boolean keysRequired,
    CallerLimits limits) {

  /**
   * What a caller may send and how long it may take.
   *
   * @param maxHeaderBytes the largest size of all headers
   * @param maxBodyBytes the largest size of a body
   * @param idleTimeoutMillis how long a connection may be idle
   */
  public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMillis) {
    /** Checks the fields. */
    public CallerLimits {
      checkArgument(maxHeaderBytes > 0, "maxHeaderBytes is %s", maxHeaderBytes);
      checkArgument(maxBodyBytes > 0, "maxBodyBytes is %s", maxBodyBytes);
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

  /** Returns the route of the host with the longest prefix that begins the path. */
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

  /** Returns the organisation that holds the key. */
  public Optional<String> organisation(String key) {
    return Optional.ofNullable(organisationByKey.get(key));
  }
}
