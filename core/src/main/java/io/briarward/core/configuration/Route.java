package io.briarward.core.configuration;

import java.util.Optional;

/**
 * A mapping from a host and a path prefix to a service.
 *
 * @param host the host name without port, or {@code *} for any
 * @param pathPrefix the prefix of the path, starting with a slash; the longest matching prefix
 *     takes precedence
 * @param service the id of the service
 * @param open whether requests need no API key
 * @param idempotent whether requests of every method may be retried; otherwise only GET, HEAD,
 *     OPTIONS, PUT and DELETE requests may
 * @param timeoutMillis the time-out of a request that specifies none, from 1 to 3,600,000 (one
 *     hour)
 * @param weight the service charged to the organisation for a request that is answered before its
 *     deadline, from 0.001 to 1,000,000
 * @param openOrganisation the id of the organisation that requests without a key are billed to;
 *     present if and only if the route is open
 */
public record Route(
    String host,
    String pathPrefix,
    String service,
    boolean open,
    boolean idempotent,
    long timeoutMillis,
    double weight,
    Optional<String> openOrganisation) {
  /** Validates the components. */
  public Route {
    Checks.notEmpty(host, "host");
    Checks.check(
        pathPrefix != null && pathPrefix.startsWith("/"), "pathPrefix", pathPrefix, "a leading /");
    Checks.id(service, "service");
    Checks.range((double) timeoutMillis, 1, 3_600_000, "timeoutMillis");
    Checks.range(weight, 1e-3, 1e6, "weight");
    Checks.check(
        open == openOrganisation.isPresent(),
        "openOrganisation",
        openOrganisation,
        "an organisation if and only if the route is open");
  }
}
