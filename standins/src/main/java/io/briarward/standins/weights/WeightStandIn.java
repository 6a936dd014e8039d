package io.briarward.standins.weights;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.briarward.standins.http.Answer;
import io.briarward.standins.http.Call;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.RateLimit;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Serves published weight versions, a limited number of reads per second. */
public final class WeightStandIn implements StandIn {
  private static final double READS_PER_SECOND = 4;
  private static final long RETRY_AFTER_SECONDS = 1;
  private static final int WEIGHT_SEGMENTS = 4;

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

  /** Returns the faults of this stand-in, switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.RATE_LIMIT_PER_SECOND);
  }

  /** Returns a stand-in without versions; option {@code readsPerSecond}. */
  public static WeightStandIn create(Timer timer, Faults faults, Options options) {
    return new WeightStandIn(timer, faults, options.decimal("readsPerSecond", READS_PER_SECOND));
  }

  @Override
  public void handle(Call call) {
    ImmutableList<String> path = call.segments();
    if (!call.path().startsWith("/v1/weights/") || path.size() != WEIGHT_SEGMENTS) {
      call.answer(Answer.notFound());
      return;
    }
    WeightKey key = new WeightKey(path.get(2), Long.parseLong(path.get(3)));
    switch (call.method()) {
      case "PUT" -> {
        weights.put(key, call.body());
        call.answer(Answer.empty(201));
      }
      case "GET" -> call.answer(read(key));
      default -> call.answer(Answer.error(405, "method-not-allowed", call.method()));
    }
  }

  @Override
  public ObjectNode state() {
    return Json.object()
        .put("versions", weights.size())
        .put("reads", reads)
        .put("refusals", refusals);
  }

  private Answer read(WeightKey key) {
    double perSecond = faults.valueOr(Fault.RATE_LIMIT_PER_SECOND, readsPerSecond);
    if (!limit.tryAcquire(1, perSecond, timer.nowMillis())) {
      refusals++;
      return Answer.retryLater(429, "rate-limited", RETRY_AFTER_SECONDS);
    }
    reads++;
    return Optional.ofNullable(weights.get(key))
        .map(bytes -> Answer.bytes(200, bytes))
        .orElseGet(Answer::notFound);
  }
}
