package io.briarward.standins.plain;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.Response;
import io.briarward.standins.http.RunCounter;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A stand-in for a plain service, which responds to any request after a simulated amount of work.
 *
 * <p>Limits concurrent requests, queues those above the limit, and counts executions. Confined to
 * its event loop.
 */
public final class PlainStandIn implements StandIn {
  private static final long DEFAULT_WORK_MILLIS = 2;
  private static final int DEFAULT_MAX_CONCURRENT = 64;
  private static final String REQUEST_ID = "X-Request-Id";
  private static final String OPERATION_ID = "X-Operation-Id";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private final Timer timer;
  private final Faults faults;
  private final Settings settings;
  private final Queue<Exchange> waiting = new ArrayDeque<>();
  private final RunCounter runs = RunCounter.create();
  private final Multiset<String> executionsByOperation = HashMultiset.create();
  private int running;
  private long executions;

  /**
   * The settings of a stand-in for a plain service.
   *
   * @param service the id of the service that the stand-in belongs to
   * @param instance the name of this stand-in
   * @param workMillis how long one request runs
   * @param maxConcurrent the maximum number of concurrent requests
   */
  public record Settings(String service, String instance, long workMillis, int maxConcurrent) {
    /** Reads the settings from the options of the same names. */
    public static Settings from(Options options) {
      return new Settings(
          options.text("service", "plain"),
          options.text("instance", "plain-1"),
          options.number("workMillis", DEFAULT_WORK_MILLIS),
          Math.toIntExact(options.number("maxConcurrent", DEFAULT_MAX_CONCURRENT)));
    }
  }

  private PlainStandIn(Timer timer, Faults faults, Settings settings) {
    this.timer = timer;
    this.faults = faults;
    this.settings = settings;
  }

  /** Returns the faults that this stand-in supports, all switched off. */
  public static Faults faults(long seed) {
    return Faults.of(
        seed, Fault.GARBAGE_SHARE, Fault.TRUNCATED_SHARE, Fault.SLOWDOWN, Fault.LEAVING);
  }

  /** Creates a stand-in that has run no requests. */
  public static PlainStandIn create(Timer timer, Faults faults, Settings settings) {
    return new PlainStandIn(timer, faults, settings);
  }

  @Override
  public void handle(Exchange exchange) {
    if (exchange.path().equals("/control/executions")) {
      exchange.respond(Response.json(200, executionCounts()));
      return;
    }
    if (exchange.path().equals("/v1/load")) {
      exchange.respond(Response.json(200, load()));
      return;
    }
    if (running >= settings.maxConcurrent()) {
      waiting.add(exchange);
      return;
    }
    run(exchange);
  }

  @Override
  public ObjectNode state() {
    return Json.object()
        .put("service", settings.service())
        .put("instance", settings.instance())
        .put("executions", executions)
        .put("running", running)
        .put("requestsRunTwice", runs.requestsRunTwice());
  }

  @Override
  public void crash() {
    waiting.clear();
  }

  private ObjectNode executionCounts() {
    ObjectNode counts = Json.object();
    executionsByOperation.entrySet().forEach(e -> counts.put(e.getElement(), e.getCount()));
    return counts;
  }

  private ObjectNode load() {
    return Json.object()
        .put("running", running)
        .put("queued", waiting.size())
        .put("batchLimit", settings.maxConcurrent())
        .put("weightVersion", 0)
        .put("measuredAtMillis", timer.nowMillis());
  }

  private void run(Exchange exchange) {
    running++;
    executions++;
    long execution = executions;
    exchange.header(IDEMPOTENCY_KEY).or(() -> exchange.header(REQUEST_ID)).ifPresent(runs::record);
    exchange.header(OPERATION_ID).ifPresent(executionsByOperation::add);
    double factor = faults.valueOr(Fault.SLOWDOWN, 1);
    long workMillis = (long) (settings.workMillis() * factor);
    timer.scheduleMillis(workMillis, () -> finish(exchange, execution));
  }

  private void finish(Exchange exchange, long execution) {
    running--;
    respond(exchange, execution);
    if (!waiting.isEmpty()) {
      run(waiting.remove());
    }
  }

  private void respond(Exchange exchange, long execution) {
    if (faults.shouldInject(Fault.GARBAGE_SHARE)) {
      exchange.respond(Response.bytes(200, Buffer.buffer("\u0000garbage")));
    } else if (faults.shouldInject(Fault.TRUNCATED_SHARE)) {
      exchange
          .startStream("application/json")
          .write("{\"service\":")
          .onComplete(unused -> exchange.closeConnection());
    } else {
      exchange.respond(Response.json(200, responseBody(exchange, execution)));
    }
  }

  private ObjectNode responseBody(Exchange exchange, long execution) {
    return Json.object()
        .put("service", settings.service())
        .put("instance", settings.instance())
        .put("method", exchange.method())
        .put("path", exchange.uri())
        .put("body", exchange.body().toString())
        .put("requestId", exchange.header(REQUEST_ID).orElse(""))
        .put("execution", execution);
  }
}
