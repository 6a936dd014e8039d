package io.briarward.standins.vms;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.History;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.Response;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;

/**
 * A stand-in for the platform's list of VMs, which is served with a lag.
 *
 * <p>{@code PUT /control/vms} replaces the list. Confined to its event loop.
 */
public final class VmListStandIn implements StandIn {
  private static final long DEFAULT_LAG_MILLIS = 2_000;

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

  /** Returns the faults that this stand-in supports, all switched off. */
  public static Faults faults(long seed) {
    return Faults.of(seed, Fault.LAG_MILLIS);
  }

  /**
   * Creates a stand-in.
   *
   * @param options {@code lagMillis}, and {@code vms}, the initial list as a JSON array
   */
  public static VmListStandIn create(Timer timer, Faults faults, Options options) {
    return new VmListStandIn(
        timer,
        faults,
        options.number("lagMillis", DEFAULT_LAG_MILLIS),
        Json.parse(options.text("vms", "[]")));
  }

  @Override
  public void handle(Exchange exchange) {
    String operation = exchange.method() + " " + exchange.path();
    switch (operation) {
      case "GET /v1/vms" -> exchange.respond(Response.json(200, laggedList()));
      case "PUT /control/vms" -> {
        vms.put(timer.nowMillis(), exchange.json().path("vms"));
        exchange.respond(Response.empty(204));
      }
      default -> exchange.respond(Response.notFound());
    }
  }

  @Override
  public ObjectNode state() {
    return Json.object().set("vms", vms.latest());
  }

  private ObjectNode laggedList() {
    long effectiveLagMillis = (long) faults.valueOr(Fault.LAG_MILLIS, (double) lagMillis);
    long asOfMillis = timer.nowMillis() - effectiveLagMillis;
    ObjectNode response = Json.object();
    response.set("vms", vms.asOf(asOfMillis));
    return response.put("asOfMillis", asOfMillis);
  }
}
