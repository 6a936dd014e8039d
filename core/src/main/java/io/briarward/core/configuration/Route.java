package io.briarward.core.configuration;

import java.util.Optional;

/**
 * Maps a host and a path prefix to a service.
 *
 * @param host the host name without port, or {@code *} for any
 * @param pathPrefix the prefix of the path, starting with a slash; the longest match wins
 * @param service the id of the service
 * @param open whether requests need no key
 * @param idempotent whether every method on the route may be run again; otherwise only GET, HEAD,
 *     OPTIONS, PUT and DELETE may
 * @param timeoutMillis the due time of a request that states none
 * @param weight what one request answered in its due time counts, above 0
 * @param openOrganisation the organisation that open requests are billed to, required on open
 *     routes
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
  /** Checks the fields. */
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
        "one exactly on open routes");
  }
}
