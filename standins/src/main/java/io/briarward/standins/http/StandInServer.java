package io.briarward.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * Serves a stand-in over HTTP, together with the control endpoints and the common faults.
 *
 * <p>Example: {@code StandInServer.start(launch, timer -> ReportStandIn.create()).blockingGet()}.
 */
public final class StandInServer implements RunningStandIn {
  private static final long RETRY_AFTER_SECONDS = 1;
  private static final String CONTROL_PREFIX = "/control/";
  private static final String LEAVING_HEADER = "X-Upstream-Leaving";

  private final HttpServer server;
  private final StandIn standIn;
  private final Faults faults;
  private final Timer timer;
  private final CredentialCounter credentials;
  private final Set<HttpConnection> connections = new HashSet<>();
  private boolean down;

  private StandInServer(HttpServer server, StandIn standIn, Timer timer, Launch launch) {
    this.server = server;
    this.standIn = standIn;
    this.faults = launch.faults;
    this.timer = timer;
    this.credentials = new CredentialCounter(launch.secrets);
  }

  /**
   * The parameters for starting a stand-in.
   *
   * @param vertx the Vert.x instance that runs the server
   * @param scheduler the source of time and timers
   * @param epochOffsetMillis the offset to add to the scheduler's time to get the time since the
   *     epoch
   * @param address the address to listen on
   * @param faults the supported faults
   * @param secrets strings whose occurrence in a request is counted
   */
  public record Launch(
      Vertx vertx,
      Scheduler scheduler,
      long epochOffsetMillis,
      Address address,
      Faults faults,
      ImmutableList<String> secrets) {}

  /** Starts a server for the stand-in that {@code factory} creates. */
  public static Single<RunningStandIn> start(Launch launch, Function<Timer, StandIn> factory) {
    return Single.create(
        emitter -> {
          Context context = launch.vertx.getOrCreateContext();
          Timer timer = new Timer(launch.scheduler, context, launch.epochOffsetMillis);
          HttpServer server = launch.vertx.createHttpServer(new HttpServerOptions());
          StandInServer running = new StandInServer(server, factory.apply(timer), timer, launch);
          server.connectionHandler(running::accept);
          server.requestHandler(running::receive);
          context.runOnContext(
              unused ->
                  server
                      .listen(launch.address.port(), launch.address.host())
                      .onSuccess(listening -> emitter.onSuccess(running))
                      .onFailure(emitter::tryOnError));
        });
  }

  @Override
  public int port() {
    return server.actualPort();
  }

  @Override
  public void close() {
    standIn.close();
    server.close().onFailure(e -> Logger.debug(e, "failed to close the server of a stand-in"));
  }

  private void accept(HttpConnection connection) {
    if (down) {
      connection.close();
      return;
    }
    connections.add(connection);
    connection.closeHandler(unused -> connections.remove(connection));
  }

  /**
   * Closes new connections until the downtime ends.
   *
   * <p>Must be called before the response to the control request is sent: a test advances the clock
   * after that response, and the timer must be scheduled by then.
   */
  private void startDowntime(long downMillis) {
    down = true;
    timer.scheduleMillis(downMillis, () -> down = false);
  }

  private void dropStateAndConnections() {
    standIn.crash();
    ImmutableList.copyOf(connections).forEach(HttpConnection::close);
  }

  private void receive(HttpServerRequest request) {
    request
        .body()
        .onSuccess(body -> receive(request, body))
        .onFailure(e -> request.connection().close());
  }

  private void receive(HttpServerRequest request, Buffer body) {
    if (request.path().equals("/livez")) {
      request.response().end("ok");
      return;
    }
    if (request.path().startsWith(CONTROL_PREFIX)) {
      runHandler(new Exchange(request, body, false), this::control);
      return;
    }
    credentials.record(request, body.toString());
    if (faults.isOn(Fault.DELAY_MILLIS)) {
      long delayMillis = (long) faults.value(Fault.DELAY_MILLIS);
      timer.scheduleMillis(delayMillis, () -> run(request, body));
      return;
    }
    run(request, body);
  }

  private void run(HttpServerRequest request, Buffer body) {
    if (faults.isOn(Fault.HANG)) {
      return;
    }
    if (faults.isOn(Fault.LEAVING)) {
      request.response().putHeader(LEAVING_HEADER, "1");
    }
    if (faults.shouldInject(Fault.REQUEST_LOST_SHARE)) {
      request.connection().close();
      return;
    }
    if (faults.isOn(Fault.OUTAGE)) {
      new Exchange(request, body, false)
          .respond(Response.retryLater(503, "unavailable", RETRY_AFTER_SECONDS));
      return;
    }
    boolean responseLost = faults.shouldInject(Fault.ANSWER_LOST_SHARE);
    runHandler(new Exchange(request, body, responseLost), standIn::handle);
  }

  private static void runHandler(Exchange exchange, Consumer<Exchange> handler) {
    try {
      handler.accept(exchange);
    } catch (IllegalArgumentException e) {
      exchange.respond(Response.error(400, "malformed-request", e.getMessage()));
    }
  }

  private void control(Exchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /control/state" -> exchange.respond(Response.json(200, stateJson()));
      case "GET /control/faults" -> exchange.respond(Response.json(200, faultsJson()));
      case "POST /control/faults" -> setFault(exchange);
      default -> standIn.handle(exchange);
    }
  }

  private ObjectNode stateJson() {
    ObjectNode state = standIn.state();
    credentials.addCounters(state);
    return state;
  }

  private ObjectNode faultsJson() {
    ObjectNode response = Json.object();
    for (Fault fault : faults.supported()) {
      response.put(fault.label(), faults.value(fault));
    }
    return response;
  }

  private void setFault(Exchange exchange) {
    JsonNode body = exchange.json();
    String label = body.path("name").asText();
    Fault fault =
        Fault.byLabel(label)
            .orElseThrow(() -> new IllegalArgumentException("unknown fault " + label));
    double value = body.path("value").asDouble();
    String dataCentre = body.path("dataCentre").asText("");
    if (dataCentre.isEmpty()) {
      faults.set(fault, value);
    }
    standIn.onFaultChanged(fault, value, dataCentre);
    boolean crash = fault == Fault.CRASH_MILLIS && value > 0;
    if (crash) {
      startDowntime((long) value);
    }
    exchange.respond(Response.json(200, faultsJson()));
    if (crash) {
      dropStateAndConnections();
    }
  }
}
