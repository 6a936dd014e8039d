package io.briarward.node.http;

import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.PoolOptions;

/**
 * Creates the HTTP clients of a node.
 *
 * <p>Their connections are guarded by a {@link ResponseBoundaryGuard}. Thread-safe.
 */
public final class HttpClients {
  private static final ServerFaultLog LOG = ServerFaultLog.create(Schedulers.trampoline());

  private HttpClients() {}

  /** Creates a client without open connections. */
  public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
    return vertx
        .httpClientBuilder()
        .with(options)
        .with(pool)
        .withConnectHandler(connection -> ResponseBoundaryGuard.install(connection, LOG))
        .build();
  }

  /**
   * Returns whether a request is the first one on its connection, so that the response cannot
   * belong to an earlier request.
   *
   * @param request a request of a client that this class created; called on its event loop
   */
  public static boolean isFirstExchange(HttpClientRequest request) {
    return ResponseBoundaryGuard.isFirstExchange(request.connection());
  }
}
