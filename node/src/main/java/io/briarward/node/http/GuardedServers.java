package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.memory.ClientBudget;
import io.briarward.core.memory.ClientLimits;
import io.briarward.node.settings.ProcessLimits;
import io.briarward.node.telemetry.Metrics;
import io.briarward.node.telemetry.RepeatedErrors;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Creates the HTTP servers of a process, whose clients are bounded by {@link ClientLimits}.
 *
 * <p>Each server has a budget of its own, so that clients of one port take nothing from another.
 * Confined to the event loop.
 */
public final class GuardedServers {
  private static final long LOG_INTERVAL_MILLIS = 10_000;

  /** The name that Vert.x gives to the last handler of a connection. */
  private static final String LAST_HANDLER = "handler";

  /** The largest piece of a body that is passed on at once. */
  private static final int MAX_CHUNK_BYTES = 16 << 10;

  private final Vertx vertx;
  private final Scheduler clock;
  private final Map<String, ClientBudget> budgets = new LinkedHashMap<>();
  private final RepeatedErrors errors = RepeatedErrors.withInterval(LOG_INTERVAL_MILLIS);
  private final Counter refusals;

  private GuardedServers(Vertx vertx, Scheduler clock, Metrics metrics) {
    this.vertx = checkNotNull(vertx, "vertx");
    this.clock = checkNotNull(clock, "clock");
    this.refusals =
        Counter.builder()
            .name("briarward_client_refusals_total")
            .help("Connections of clients that were refused or closed, by port and reason.")
            .labelNames("port", "reason")
            .register(metrics.registry());
    gauge(metrics, "briarward_client_connections", "Open connections.", ClientBudget::connections);
    gauge(
        metrics,
        "briarward_client_unfinished_requests",
        "Requests that have not arrived completely.",
        ClientBudget::unfinishedRequests);
    gauge(
        metrics,
        "briarward_client_head_bytes",
        "Estimated memory of the heads of requests.",
        ClientBudget::heldBytes);
  }

  /** A figure of a budget. */
  private interface Figure {
    double of(ClientBudget budget);
  }

  private void gauge(Metrics metrics, String name, String help, Figure figure) {
    var unused =
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .labelNames("port")
            .callback(
                callback ->
                    budgets.forEach((port, budget) -> callback.call(figure.of(budget), port)))
            .register(metrics.registry());
  }

  /** Creates servers whose refusals are counted in {@code metrics} and logged at a bounded rate. */
  public static GuardedServers create(Vertx vertx, Scheduler clock, Metrics metrics) {
    return new GuardedServers(vertx, clock, metrics);
  }

  /**
   * Returns the limits of a port that gets a part of what this process has for clients.
   *
   * @throws IllegalArgumentException if this process has too little memory
   */
  public static ClientLimits limits(double share, int maxHeadBytes) {
    return ClientLimits.of(
        share, ProcessLimits.maxHeapBytes(), ProcessLimits.maxDescriptors(), maxHeadBytes);
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param port the name of the port in metrics and log lines
   * @param options the address and the idle time-out; the limits are set here
   */
  public HttpServer newServer(String port, HttpServerOptions options, ClientLimits limits) {
    ClientBudget budget = ClientBudget.of(limits.maxConnections(), limits.maxHeldBytes());
    budgets.put(port, budget);
    HttpServerOptions limited =
        new HttpServerOptions(options)
            .setMaxHeaderSize(limits.maxHeadBytes())
            .setMaxInitialLineLength(ClientLimits.MAX_FIRST_LINE_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHttp2ClearTextEnabled(false)
            .setHandle100ContinueAutomatically(true);
    return vertx
        .createHttpServer(limited)
        .connectionHandler(
            connection ->
                ConnectionGuard.install(
                    ((HttpServerConnection) connection).channelHandlerContext().pipeline(),
                    LAST_HANDLER,
                    budget,
                    limits,
                    reason -> onRefused(port, reason)));
  }

  private void onRefused(String port, ConnectionGuard.Reason reason) {
    refusals.labelValues(port, reason.label()).inc();
    errors
        .onError(port + " " + reason.label(), clock.now(TimeUnit.MILLISECONDS))
        .ifPresent(
            count ->
                Logger.warn(
                    "event=client-refused port={} reason={} count={}",
                    port,
                    reason.label(),
                    count));
  }
}
