package io.briarward.operator;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.Route;
import java.util.Optional;

/** A builder of routes. Not thread-safe. */
public final class RouteBuilder {
  private static final long DEFAULT_TIMEOUT_MILLIS = 2_000;
  private static final String ANY_HOST = "*";

  private final String pathPrefix;
  private String host = ANY_HOST;
  private String service = "";
  private boolean idempotent;
  private long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;
  private double weight = 1;
  private Optional<String> openOrganisation = Optional.empty();

  RouteBuilder(String pathPrefix) {
    this.pathPrefix = pathPrefix;
  }

  /** Sets the host name that requests must have; any by default. */
  @CanIgnoreReturnValue
  public RouteBuilder host(String hostName) {
    this.host = hostName;
    return this;
  }

  /** Sets the service that requests are routed to. */
  @CanIgnoreReturnValue
  public RouteBuilder to(String serviceId) {
    this.service = serviceId;
    return this;
  }

  /** Allows requests without a key, which are billed to the organisation. */
  @CanIgnoreReturnValue
  public RouteBuilder openFor(String organisationId) {
    this.openOrganisation = Optional.of(organisationId);
    return this;
  }

  /** Declares that requests of every method may be retried, not only those idempotent in HTTP. */
  @CanIgnoreReturnValue
  public RouteBuilder idempotent() {
    this.idempotent = true;
    return this;
  }

  /** Sets the time-out of a request that specifies none; 2,000 ms by default. */
  @CanIgnoreReturnValue
  public RouteBuilder timeoutMillis(long timeout) {
    this.timeoutMillis = timeout;
    return this;
  }

  /** Sets the weight of a request that is answered before its deadline; 1 by default. */
  @CanIgnoreReturnValue
  public RouteBuilder weight(double weightPerRequest) {
    this.weight = weightPerRequest;
    return this;
  }

  Route build() {
    boolean open = openOrganisation.isPresent();
    return new Route(
        host, pathPrefix, service, open, idempotent, timeoutMillis, weight, openOrganisation);
  }
}
