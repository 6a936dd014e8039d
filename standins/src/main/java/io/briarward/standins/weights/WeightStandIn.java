package io.briarward.standins.weights;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
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
 * A stand-in for the weight store, which limits the rate of reads.
 *
 * <p>Confined to its event loop.
 */
public final class WeightStandIn implements StandIn {
  private static final double DEFAULT_READS_PER_SECOND = 4;
  private static final long RETRY_AFTER_SECONDS = 1;
  private static final int WEIGHT_PATH_SEGMENTS = 4;

  private final Timer timer;
  private final Faults faults;
  private final double readsPerSecond;
  private final RateLimit limit;
  private final Map<WeightKey, Buffer> weights = new HashMap<>();
  private long reads;
  private long refusals;

  private record WeightKey(String service, long version) {}

  private WeightStandIn(Timer timer, Faults faults, double readsPerSecond) {
    this.timer = timer;
    this.faults = faults;
    this.readsPerSecond = readsPerSecond;
    this.limit = RateLimit.create(readsPerSecond, timer.nowMillis());
  }

  /** Returns the faults that this stand-in supports, all switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.RATE_LIMIT_PER_SECOND);
  }

  /**
   * Creates a stand-in without weight versions.
   *
   * @param options {@code readsPerSecond}, the rate limit
   */
  public static WeightStandIn create(Timer timer, Faults faults, Options options) {
    return new WeightStandIn(
        timer, faults, options.decimal("readsPerSecond", DEFAULT_READS_PER_SECOND));
  }

  @Override
  public void handle(Exchange exchange) {
    ImmutableList<String> path = exchange.segments();
    if (!exchange.path().startsWith("/v1/weights/") || path.size() != WEIGHT_PATH_SEGMENTS) {
      exchange.respond(Response.notFound());
      return;
    }
    WeightKey key = new WeightKey(path.get(2), Long.parseLong(path.get(3)));
    switch (exchange.method()) {
      case "PUT" -> {
        weights.put(key, exchange.body());
        exchange.respond(Response.empty(201));
      }
      case "GET" -> exchange.respond(read(key));
      default -> exchange.respond(Response.error(405, "method-not-allowed", exchange.method()));
    }
  }

  @Override
  public ObjectNode state() {
    return Json.object()
        .put("versions", weights.size())
        .put("reads", reads)
        .put("refusals", refusals);
  }

  private Response read(WeightKey key) {
    double perSecond = faults.valueOr(Fault.RATE_LIMIT_PER_SECOND, readsPerSecond);
    if (!limit.tryAcquire(1, perSecond, timer.nowMillis())) {
      refusals++;
      return Response.retryLater(429, "rate-limited", RETRY_AFTER_SECONDS);
    }
    reads++;
    return Optional.ofNullable(weights.get(key))
        .map(bytes -> Response.bytes(200, bytes))
        .orElseGet(Response::notFound);
  }
}
