package io.briarward.node;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.memory.ClientLimits;
import io.briarward.node.http.GuardedServers;
import io.briarward.node.settings.NodeSettings;
import io.briarward.node.settings.ProcessLimits;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;

/** The HTTP servers of a node, for callers and trainers and for operators. */
final class NodeServers {
  private static final int IDLE_CONNECTION_SECONDS = 120;
  private static final int SHUTDOWN_TIMEOUT_SECONDS = 30;

  /** Of what the process has for clients; that of operators is a reserve beside it. */
  private static final double CALLERS_SHARE = 1;

  private static final double OPERATORS_SHARE = 0.1;

  /** The rest is for heads, connections, responses and the state of the node. */
  private static final double BODIES_HEAP_SHARE = 0.75;

  private final HttpServer callers;
  private final HttpServer operators;

  private NodeServers(HttpServer callers, HttpServer operators) {
    this.callers = checkNotNull(callers, "callers");
    this.operators = checkNotNull(operators, "operators");
  }

  /**
   * Checks that this process has enough memory for the limits of its settings.
   *
   * @throws IllegalArgumentException if it has not
   */
  static void checkLimits(NodeSettings settings) {
    var unused = GuardedServers.limits(CALLERS_SHARE, settings.maxHeaderBytes());
    double maxBytes = BODIES_HEAP_SHARE * ProcessLimits.maxHeapBytes();
    checkArgument(
        NodeContext.maxBodiesBytes(settings) <= maxBytes,
        "--max-body-bytes is %s, which takes %s bytes of the heap, expected at most %s;"
            + " raise the maximum heap size",
        settings.maxBodyBytes(),
        NodeContext.maxBodiesBytes(settings),
        (long) maxBytes);
  }

  /** Starts to listen on both ports. */
  static Future<NodeServers> listen(
      NodeContext context,
      Handler<HttpServerRequest> callerHandler,
      Handler<HttpServerRequest> operatorHandler) {
    NodeSettings settings = context.settings();
    GuardedServers servers =
        GuardedServers.create(context.vertx(), context.scheduler(), context.metrics());
    return listen(servers, settings, "callers", settings.httpPort(), CALLERS_SHARE, callerHandler)
        .compose(
            callers ->
                listen(
                        servers,
                        settings,
                        "operators",
                        settings.operatorPort(),
                        OPERATORS_SHARE,
                        operatorHandler)
                    .map(operators -> new NodeServers(callers, operators)));
  }

  private static Future<HttpServer> listen(
      GuardedServers servers,
      NodeSettings settings,
      String name,
      int port,
      double share,
      Handler<HttpServerRequest> handler) {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(settings.host())
            .setPort(port)
            .setIdleTimeout(IDLE_CONNECTION_SECONDS);
    ClientLimits limits = GuardedServers.limits(share, settings.maxHeaderBytes());
    return servers.newServer(name, options, limits).requestHandler(handler).listen();
  }

  /** Returns the port for callers and trainers. */
  int httpPort() {
    return callers.actualPort();
  }

  /** Returns the port for operators. */
  int operatorPort() {
    return operators.actualPort();
  }

  /** Stops both servers after waiting for requests that {@code ActiveRequests} does not track. */
  Future<?> shutdown() {
    return Future.all(shutdown(callers), shutdown(operators));
  }

  private static Future<Void> shutdown(HttpServer server) {
    return server.shutdown(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
