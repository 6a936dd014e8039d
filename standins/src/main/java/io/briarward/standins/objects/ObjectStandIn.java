package io.briarward.standins.objects;

import com.fasterxml.jackson.databind.node.ObjectNode;
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

/** Serves objects that can be created only once on request. */
public final class ObjectStandIn implements StandIn {
  private static final String PREFIX = "/v1/objects/";
  private static final double OPERATIONS_PER_SECOND = 500;
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

  /** Returns the faults of this stand-in, switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.RATE_LIMIT_PER_SECOND);
  }

  /** Returns a stand-in without objects; option {@code operationsPerSecond}. */
  public static ObjectStandIn create(Timer timer, Faults faults, Options options) {
    return new ObjectStandIn(
        timer, faults, options.decimal("operationsPerSecond", OPERATIONS_PER_SECOND));
  }

  @Override
  public void handle(Call call) {
    if (!call.path().startsWith(PREFIX) || call.path().length() == PREFIX.length()) {
      call.answer(Answer.notFound());
      return;
    }
    double perSecond = faults.valueOr(Fault.RATE_LIMIT_PER_SECOND, operationsPerSecond);
    if (!limit.tryAcquire(1, perSecond, timer.nowMillis())) {
      refusals++;
      call.answer(Answer.retryLater(429, "rate-limited", RETRY_AFTER_SECONDS));
      return;
    }
    run(call, call.path().substring(PREFIX.length()));
  }

  @Override
  public ObjectNode state() {
    return Json.object().put("objects", objects.size()).put("refusals", refusals);
  }

  private void run(Call call, String key) {
    switch (call.method()) {
      case "PUT" -> put(call, key);
      case "GET" ->
          call.answer(
              Optional.ofNullable(objects.get(key))
                  .map(bytes -> Answer.bytes(200, bytes))
                  .orElseGet(Answer::notFound));
      case "DELETE" -> {
        objects.remove(key);
        call.answer(Answer.empty(204));
      }
      default -> call.answer(Answer.error(405, "method-not-allowed", call.method()));
    }
  }

  private void put(Call call, String key) {
    boolean onlyNew = call.header("If-None-Match").filter("*"::equals).isPresent();
    if (onlyNew && objects.containsKey(key)) {
      call.answer(Answer.error(412, "object-exists", key));
      return;
    }
    objects.put(key, call.body());
    call.answer(Answer.empty(201));
  }
}
