package io.briarward.node.rollout;

import io.briarward.core.configuration.ApiKey;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.forwarding.HeaderRules;
import io.briarward.node.configuration.ConfigurationHolder;
import io.briarward.node.configuration.VersionedConfiguration;
import io.briarward.node.live.Caller;
import io.briarward.node.live.ServingTables;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Authenticates trainers' requests by API key. Confined to the event loop. */
final class TrainerAuthentication {
  private static final long NOT_READY_RETRY_AFTER_MILLIS = 1_000;

  private final ConfigurationHolder configuration;
  private final BooleanSupplier permitted;
  private ServingTables tables;

  TrainerAuthentication(ConfigurationHolder configuration, BooleanSupplier permitted) {
    this.configuration = configuration;
    this.permitted = permitted;
    this.tables = ServingTables.of(configuration.current());
  }

  /** Returns the tables of the current configuration. */
  ServingTables tables() {
    VersionedConfiguration current = configuration.current();
    if (current.version() != tables.version()) {
      tables = ServingTables.of(current);
    }
    return tables;
  }

  /**
   * Returns the caller whose API key the request contains.
   *
   * @throws io.briarward.core.errors.FailureException if the key is missing, unknown or lacks the
   *     scope, or if this node cannot tell which keys have been withdrawn
   */
  Caller authenticate(HttpServerRequest request) {
    if (!permitted.getAsBoolean()) {
      throw Failure.notRun(
              ErrorKind.NOT_READY, ErrorKind.NOT_READY.title(), NOT_READY_RETRY_AFTER_MILLIS)
          .toException();
    }
    Optional<String> secret =
        Optional.ofNullable(request.getHeader("Authorization")).flatMap(HeaderRules::bearerSecret);
    ApiKey key = tables().requireKey(secret, ApiKey.Scope.TRAIN);
    return new Caller(key.organisation(), Optional.of(key), secret);
  }

  /** Returns whether the caller's key is still valid. */
  boolean isGranted(Caller caller) {
    return permitted.getAsBoolean() && caller.key().filter(tables()::grants).isPresent();
  }
}
