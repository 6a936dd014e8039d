package io.briarward.standins.plain;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Answer;
import io.briarward.standins.http.Call;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.RunCounter;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.Queue;

/** Answers any request after some work, a limited number at once, and counts executions. */
public final class PlainStandIn implements StandIn {
  private static final long WORK_MILLIS = 2;
  private static final int MAX_CONCURRENT = 64;
  private static final String REQUEST_ID = "X-Request-Id";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private final Timer timer;
  private final Faults faults;
  private final Settings settings;
  private final Queue<Call> waiting = new ArrayDeque<>();
  private final RunCounter runs = RunCounter.create();
  private int running;
  private long executions;

  /**
   * How the service behaves.
   *
   * @param service the id of the service it stands for
   * @param instance its own name
   * @param workMillis how long one request runs
   * @param maxConcurrent how many requests run at once
   */
  public record Settings(String service, String instance, long workMillis, int maxConcurrent) {
    /** Takes the settings from options of the same names. */
    public static Settings from(Options options) {
      return new Settings(
          options.text("service", "plain"),
          options.text("instance", "plain-1"),
          options.number("workMillis", WORK_MILLIS),
          Math.toIntExact(options.number("maxConcurrent", MAX_CONCURRENT)));
    }
  }

  private PlainStandIn(Timer timer, Faults faults, Settings settings) {
    this.timer = timer;
    this.faults = faults;
    this.settings = settings;
  }

  /** Returns the faults of this stand-in, switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.GARBAGE_SHARE, Fault.TRUNCATED_SHARE, Fault.SLOWDOWN);
  }

  /** Returns a stand-in that has run nothing. */
  public static PlainStandIn create(Timer timer, Faults faults, Settings settings) {
    return new PlainStandIn(timer, faults, settings);
  }

  @Override
  public void handle(Call call) {
    if (call.path().equals("/v1/load")) {
      call.answer(Answer.json(200, load()));
      return;
    }
    if (running >= settings.maxConcurrent()) {
      waiting.add(call);
      return;
    }
    run(call);
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

  private ObjectNode load() {
    return Json.object()
        .put("running", running)
        .put("queued", waiting.size())
        .put("batchLimit", settings.maxConcurrent())
        .put("weightVersion", 0)
        .put("measuredAtMillis", timer.nowMillis());
  }

  private void run(Call call) {
    running++;
    executions++;
    long execution = executions;
    call.header(IDEMPOTENCY_KEY).or(() -> call.header(REQUEST_ID)).ifPresent(runs::record);
    double factor = faults.valueOr(Fault.SLOWDOWN, 1);
    long workMillis = (long) (settings.workMillis() * factor);
    timer.scheduleMillis(workMillis, () -> finish(call, execution));
  }

  private void finish(Call call, long execution) {
    running--;
    answer(call, execution);
    if (!waiting.isEmpty()) {
      run(waiting.remove());
    }
  }

  private void answer(Call call, long execution) {
    if (faults.hits(Fault.GARBAGE_SHARE)) {
      call.answer(Answer.bytes(200, Buffer.buffer("\u0000garbage")));
    } else if (faults.hits(Fault.TRUNCATED_SHARE)) {
      call.startStream("application/json")
          .write("{\"service\":")
          .onComplete(unused -> call.breakOff());
    } else {
      call.answer(Answer.json(200, describe(call, execution)));
    }
  }

  private ObjectNode describe(Call call, long execution) {
    return Json.object()
        .put("service", settings.service())
        .put("instance", settings.instance())
        .put("method", call.method())
        .put("path", call.uri())
        .put("body", call.body().toString())
        .put("requestId", call.header(REQUEST_ID).orElse(""))
        .put("execution", execution);
  }
}
