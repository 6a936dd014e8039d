package io.briarward.node.live;

import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.forwarding.RouteTable;
import io.briarward.core.keys.KeyIndex;
import io.briarward.node.configuration.VersionedConfiguration;
import java.util.Optional;

/** Look-up tables of one configuration version. Immutable and thread-safe. */
public final class ServingTables {
  private final VersionedConfiguration source;
  private final RouteTable routes;
  private final KeyIndex keys;

  private ServingTables(VersionedConfiguration source, RouteTable routes, KeyIndex keys) {
    this.source = source;
    this.routes = routes;
    this.keys = keys;
  }

  /** Creates the tables of a configuration. */
  public static ServingTables of(VersionedConfiguration source) {
    Configuration configuration = source.configuration();
    return new ServingTables(
        source, RouteTable.of(configuration.routes()), KeyIndex.of(configuration));
  }

  /** Returns the version of the configuration. */
  public long version() {
    return source.version();
  }

  public Configuration configuration() {
    return source.configuration();
  }

  public RouteTable routes() {
    return routes;
  }

  /**
   * Returns the key with the given secret.
   *
   * @throws io.briarward.core.errors.FailureException if no secret is given, or if the key is
   *     unknown or lacks {@code scope}
   */
  public ApiKey requireKey(Optional<String> secret, ApiKey.Scope scope) {
    if (secret.isEmpty()) {
      throw Failure.notRun(ErrorKind.MISSING_KEY, ErrorKind.MISSING_KEY.title()).toException();
    }
    ApiKey key =
        keys.find(secret.get())
            .orElseThrow(
                () ->
                    Failure.notRun(ErrorKind.UNKNOWN_KEY, ErrorKind.UNKNOWN_KEY.title())
                        .toException());
    if (!key.scopes().contains(scope)) {
      String detail = "key " + key.id() + " lacks the scope " + scope;
      throw Failure.notRun(ErrorKind.FORBIDDEN, detail).toException();
    }
    return key;
  }

  /** Returns whether the configuration still contains {@code key} unchanged. */
  public boolean grants(ApiKey key) {
    return keys.grants(key);
  }
}
