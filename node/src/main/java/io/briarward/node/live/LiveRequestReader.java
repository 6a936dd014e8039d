package io.briarward.node.live;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Longs;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Partner;
import io.briarward.core.configuration.Route;
import io.briarward.core.configuration.Service;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.core.forwarding.HeaderRules;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.UUID;

/** Validates and authenticates a request and determines its route, caller and deadline. */
final class LiveRequestReader {
  private static final ImmutableSet<HttpMethod> IDEMPOTENT_METHODS =
      ImmutableSet.of(
          HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS, HttpMethod.PUT, HttpMethod.DELETE);
  private static final String TIMEOUT_HEADER = "X-Timeout-Millis";
  private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  private final long maxBodyBytes;

  LiveRequestReader(long maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Reads the head of a request.
   *
   * @throws FailureException if the request is rejected
   */
  LiveRequest read(HttpServerRequest request, ServingTables tables, long nowMillis) {
    checkFraming(request);
    Route route = findRoute(request, tables);
    Caller caller = authenticate(request, route, tables);
    checkNoSecretInTarget(request, caller);
    Service service =
        tables
            .configuration()
            .service(route.service())
            .orElseThrow(() -> rejection(ErrorKind.NO_ROUTE, "service is gone"));
    boolean idempotent = route.idempotent() || IDEMPOTENT_METHODS.contains(request.method());
    return new LiveRequest(
        UUID.randomUUID().toString(),
        route,
        service,
        caller,
        partner(tables, caller),
        nowMillis,
        nowMillis + timeoutMillis(request, route),
        idempotent,
        Optional.empty());
  }

  private static Partner partner(ServingTables tables, Caller caller) {
    Configuration configuration = tables.configuration();
    return configuration
        .organisation(caller.organisation())
        .flatMap(organisation -> partner(configuration, organisation.partner()))
        .orElseThrow(() -> rejection(ErrorKind.NOT_READY, "organisation is gone"));
  }

  private static Optional<Partner> partner(Configuration configuration, String id) {
    return configuration.partners().stream().filter(partner -> partner.id().equals(id)).findFirst();
  }

  private void checkFraming(HttpServerRequest request) {
    if (request.method().equals(HttpMethod.CONNECT)) {
      throw rejection(ErrorKind.MALFORMED_REQUEST, "CONNECT is not accepted");
    }
    if (request.path() == null || !request.path().startsWith("/")) {
      throw rejection(ErrorKind.MALFORMED_REQUEST, "the target is not an absolute path");
    }
    if (request.headers().getAll("Host").size() > 1) {
      throw rejection(ErrorKind.MALFORMED_REQUEST, "more than one Host header");
    }
    if (contentLength(request).filter(length -> length > maxBodyBytes).isPresent()) {
      String detail = "body is larger than " + maxBodyBytes + " bytes";
      throw rejection(ErrorKind.BODY_TOO_LARGE, detail);
    }
  }

  private static Route findRoute(HttpServerRequest request, ServingTables tables) {
    String host = request.authority() == null ? "" : request.authority().host();
    return tables
        .routes()
        .find(host, request.path())
        .orElseThrow(() -> rejection(ErrorKind.NO_ROUTE, "no route for " + request.path()));
  }

  private static Caller authenticate(HttpServerRequest request, Route route, ServingTables tables) {
    Optional<String> secret = secret(request);
    if (route.open()) {
      return new Caller(route.openOrganisation().orElseThrow(), Optional.empty(), secret);
    }
    ApiKey key = tables.requireKey(secret, ApiKey.Scope.CALL);
    return new Caller(key.organisation(), Optional.of(key), secret);
  }

  static Optional<String> secret(HttpServerRequest request) {
    return Optional.ofNullable(request.getHeader("Authorization"))
        .flatMap(HeaderRules::bearerSecret);
  }

  private static void checkNoSecretInTarget(HttpServerRequest request, Caller caller) {
    if (caller.secret().filter(request.uri()::contains).isPresent()) {
      throw rejection(ErrorKind.MALFORMED_REQUEST, "the target holds the key");
    }
  }

  private static long timeoutMillis(HttpServerRequest request, Route route) {
    String text = request.getHeader(TIMEOUT_HEADER);
    if (text == null) {
      return route.timeoutMillis();
    }
    Long value = Longs.tryParse(text);
    if (value == null || value < 1 || value > MAX_TIMEOUT_MILLIS) {
      String detail = TIMEOUT_HEADER + " is " + Ascii.truncate(text, 32, "…");
      throw rejection(
          ErrorKind.MALFORMED_REQUEST, detail + ", expected 1 to " + MAX_TIMEOUT_MILLIS);
    }
    return value;
  }

  static Optional<Long> contentLength(HttpServerRequest request) {
    return Optional.ofNullable(request.getHeader("Content-Length")).map(Longs::tryParse);
  }

  private static FailureException rejection(ErrorKind kind, String detail) {
    return Failure.notRun(kind, detail).toException();
  }
}
