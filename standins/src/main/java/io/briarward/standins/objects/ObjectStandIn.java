package io.briarward.standins.objects;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.RateLimit;
import io.briarward.standins.http.Response;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A stand-in for the platform's object store.
 *
 * <p>A PUT with {@code If-None-Match: *} is rejected with status 412 if the object exists. Confined
 * to its event loop.
 */
public final class ObjectStandIn implements StandIn {
  private static final String PREFIX = "/v1/objects/";
  private static final double DEFAULT_OPERATIONS_PER_SECOND = 500;
  private static final long RETRY_AFTER_SECONDS = 1;

  private final Timer timer;
  private final Faults faults;
  private final double operationsPerSecond;
  private final RateLimit limit;
  private final Map<String, Buffer> objects = new HashMap<>();
  private long refusals;

  private ObjectStandIn(Timer timer, Faults faults, double operationsPerSecond) {
    this.timer = timer;
    this.faults = faults;
    this.operationsPerSecond = operationsPerSecond;
    this.limit = RateLimit.create(operationsPerSecond, timer.nowMillis());
  }

  /** Returns the faults that this stand-in supports, all switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.RATE_LIMIT_PER_SECOND);
  }

  /**
   * Creates a stand-in without objects.
   *
   * @param options {@code operationsPerSecond}, the rate limit
   */
  public static ObjectStandIn create(Timer timer, Faults faults, Options options) {
    return new ObjectStandIn(
        timer, faults, options.decimal("operationsPerSecond", DEFAULT_OPERATIONS_PER_SECOND));
  }

  @Override
  public void handle(Exchange exchange) {
    if (!exchange.path().startsWith(PREFIX) || exchange.path().length() == PREFIX.length()) {
      exchange.respond(Response.notFound());
      return;
    }
    double perSecond = faults.valueOr(Fault.RATE_LIMIT_PER_SECOND, operationsPerSecond);
    if (!limit.tryAcquire(1, perSecond, timer.nowMillis())) {
      refusals++;
      exchange.respond(Response.retryLater(429, "rate-limited", RETRY_AFTER_SECONDS));
      return;
    }
    run(exchange, exchange.path().substring(PREFIX.length()));
  }

  @Override
  public ObjectNode state() {
    return Json.object().put("objects", objects.size()).put("refusals", refusals);
  }

  private void run(Exchange exchange, String key) {
    switch (exchange.method()) {
      case "PUT" -> put(exchange, key);
      case "GET" ->
          exchange.respond(
              Optional.ofNullable(objects.get(key))
                  .map(bytes -> Response.bytes(200, bytes))
                  .orElseGet(Response::notFound));
      case "DELETE" -> {
        objects.remove(key);
        exchange.respond(Response.empty(204));
      }
      default -> exchange.respond(Response.error(405, "method-not-allowed", exchange.method()));
    }
  }

  private void put(Exchange exchange, String key) {
    boolean mustBeAbsent = exchange.header("If-None-Match").filter("*"::equals).isPresent();
    if (mustBeAbsent && objects.containsKey(key)) {
      exchange.respond(Response.error(412, "object-exists", key));
      return;
    }
    objects.put(key, exchange.body());
    exchange.respond(Response.empty(201));
  }
}
