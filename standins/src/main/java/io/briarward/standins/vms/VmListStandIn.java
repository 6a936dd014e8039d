package io.briarward.standins.vms;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Answer;
import io.briarward.standins.http.Call;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.History;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;

/** Serves the list of VMs as it was some time ago; {@code PUT /control/vms} replaces it. */
public final class VmListStandIn implements StandIn {
  private static final long LAG_MILLIS = 2_000;

  private final Timer timer;
  private final Faults faults;
  private final long lagMillis;
  private final History<JsonNode> vms;

  private VmListStandIn(Timer timer, Faults faults, long lagMillis, JsonNode vms) {
    this.timer = timer;
    this.faults = faults;
    this.lagMillis = lagMillis;
    this.vms = History.startingWith(vms);
  }

  /** Returns the faults of this stand-in, switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.LAG_MILLIS);
  }

  /** Returns a stand-in; options {@code lagMillis} and {@code vms}, a JSON list. */
  public static VmListStandIn create(Timer timer, Faults faults, Options options) {
    return new VmListStandIn(
        timer,
        faults,
        options.number("lagMillis", LAG_MILLIS),
        Json.parse(options.text("vms", "[]")));
  }

  @Override
  public void handle(Call call) {
    String operation = call.method() + " " + call.path();
    switch (operation) {
      case "GET /v1/vms" -> call.answer(Answer.json(200, laggingList()));
      case "PUT /control/vms" -> {
        vms.put(timer.nowMillis(), call.json().path("vms"));
        call.answer(Answer.empty(204));
      }
      default -> call.answer(Answer.notFound());
    }
  }

  @Override
  public ObjectNode state() {
    return Json.object().set("vms", vms.latest());
  }

  private ObjectNode laggingList() {
    long lag = (long) faults.valueOr(Fault.LAG_MILLIS, (double) lagMillis);
    long asOfMillis = timer.nowMillis() - lag;
    ObjectNode answer = Json.object();
    answer.set("vms", vms.asOf(asOfMillis));
    return answer.put("asOfMillis", asOfMillis);
  }
}
