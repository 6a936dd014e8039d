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
 * Serves a stand-in over HTTP with its controls and the faults that all stand-ins share.
 *
 * <p>Example: {@code StandInServer.start(launch, timer -> ReportStandIn.create()).blockingGet()}.
 */
public final class StandInServer implements RunningStandIn {
  private static final long RETRY_AFTER_SECONDS = 1;
  private static final String CONTROL_PREFIX = "/control/";

  private final HttpServer server;
  private final StandIn standIn;
  private final Faults faults;
  private final Timer timer;
  private final SeenSecrets seenSecrets;
  private final Set<HttpConnection> connections = new HashSet<>();
  private boolean down;

  private StandInServer(HttpServer server, StandIn standIn, Timer timer, Launch launch) {
    this.server = server;
    this.standIn = standIn;
    this.faults = launch.faults;
    this.timer = timer;
    this.seenSecrets = new SeenSecrets(launch.secrets);
  }

  /**
   * What a stand-in is started with.
   *
   * @param vertx the Vert.x instance it runs on
   * @param scheduler its clock and timers
   * @param epochOffsetMillis what the scheduler's clock lacks to the time since the epoch
   * @param address where it listens
   * @param faults the faults it supports
   * @param secrets texts that no request may carry
   */
  public record Launch(
      Vertx vertx,
      Scheduler scheduler,
      long epochOffsetMillis,
      Address address,
      Faults faults,
      ImmutableList<String> secrets) {}

  /** Starts the stand-in that {@code factory} creates. */
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
    server.close().onFailure(e -> Logger.debug(e, "closing a stand-in"));
  }

  private void accept(HttpConnection connection) {
    if (down) {
      connection.close();
      return;
    }
    connections.add(connection);
    connection.closeHandler(unused -> connections.remove(connection));
  }

  /** Refuses connections for a while; its end is set before anyone can advance the clock. */
  private void goDown(long downMillis) {
    down = true;
    timer.scheduleMillis(downMillis, () -> down = false);
  }

  private void loseEverything() {
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
      runGuarded(new Call(request, body, false), this::control);
      return;
    }
    seenSecrets.record(request, body.toString());
    if (faults.on(Fault.DELAY_MILLIS)) {
      long delayMillis = (long) faults.value(Fault.DELAY_MILLIS);
      timer.scheduleMillis(delayMillis, () -> run(request, body));
      return;
    }
    run(request, body);
  }

  private void run(HttpServerRequest request, Buffer body) {
    if (faults.on(Fault.HANG)) {
      return;
    }
    if (faults.hits(Fault.REQUEST_LOST_SHARE)) {
      request.connection().close();
      return;
    }
    if (faults.on(Fault.OUTAGE)) {
      new Call(request, body, false)
          .answer(Answer.retryLater(503, "unavailable", RETRY_AFTER_SECONDS));
      return;
    }
    boolean answerLost = faults.hits(Fault.ANSWER_LOST_SHARE);
    runGuarded(new Call(request, body, answerLost), standIn::handle);
  }

  private static void runGuarded(Call call, Consumer<Call> handler) {
    try {
      handler.accept(call);
    } catch (IllegalArgumentException e) {
      call.answer(Answer.error(400, "malformed-request", e.getMessage()));
    }
  }

  private void control(Call call) {
    switch (call.method() + " " + call.path()) {
      case "GET /control/state" -> call.answer(Answer.json(200, describe()));
      case "GET /control/faults" -> call.answer(Answer.json(200, describeFaults()));
      case "POST /control/faults" -> setFault(call);
      default -> standIn.handle(call);
    }
  }

  private ObjectNode describe() {
    ObjectNode state = standIn.state();
    seenSecrets.describe(state);
    return state;
  }

  private ObjectNode describeFaults() {
    ObjectNode answer = Json.object();
    for (Fault fault : faults.supported()) {
      answer.put(fault.label(), faults.value(fault));
    }
    return answer;
  }

  private void setFault(Call call) {
    JsonNode body = call.json();
    String label = body.path("name").asText();
    Fault fault =
        Fault.byLabel(label)
            .orElseThrow(() -> new IllegalArgumentException("unknown fault " + label));
    double value = body.path("value").asDouble();
    String dataCentre = body.path("dataCentre").asText("");
    if (dataCentre.isEmpty()) {
      faults.set(fault, value);
    }
    standIn.faultChanged(fault, value, dataCentre);
    boolean crash = fault == Fault.CRASH_MILLIS && value > 0;
    if (crash) {
      goDown((long) value);
    }
    call.answer(Answer.json(200, describeFaults()));
    if (crash) {
      loseEverything();
    }
  }
}
