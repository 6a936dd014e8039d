package io.briarward.operator;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.configuration.Route;
import java.util.Optional;

/** Collects the fields of a route. Not thread-safe. */
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

  /** Sets the host name; any by default. */
  @CanIgnoreReturnValue
  public RouteBuilder host(String hostName) {
    this.host = hostName;
    return this;
  }

  /** Sets the service that answers. */
  @CanIgnoreReturnValue
  public RouteBuilder to(String serviceId) {
    this.service = serviceId;
    return this;
  }

  /** Lets requests without a key in, billed to the organisation. */
  @CanIgnoreReturnValue
  public RouteBuilder openFor(String organisationId) {
    this.openOrganisation = Optional.of(organisationId);
    return this;
  }

  /** Says that every method may be run again, not only the idempotent ones of HTTP. */
  @CanIgnoreReturnValue
  public RouteBuilder idempotent() {
    this.idempotent = true;
    return this;
  }

  /** Sets the due time of a request that states none; 2,000 ms by default. */
  @CanIgnoreReturnValue
  public RouteBuilder timeoutMillis(long timeout) {
    this.timeoutMillis = timeout;
    return this;
  }

  /** Sets what one request answered in its due time counts; 1 by default. */
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
