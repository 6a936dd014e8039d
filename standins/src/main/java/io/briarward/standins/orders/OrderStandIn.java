package io.briarward.standins.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Answer;
import io.briarward.standins.http.Call;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.FencingCheck;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.RunningStandIn;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Starts and stops upstreams in this process by data centre, and counts what they cost.
 *
 * <p>The faults {@code noCapacity} and {@code reclaimNoticeMillis} may name a data centre.
 */
public final class OrderStandIn implements StandIn {
  private static final String HOST = "127.0.0.1";
  private static final long START_MILLIS = 1_000;
  private static final long STOP_MILLIS = 5_000;
  private static final double ON_DEMAND_COST_PER_HOUR = 3;
  private static final double RECLAIMABLE_COST_PER_HOUR = 1;

  private final Timer timer;
  private final Faults faults;
  private final UpstreamLauncher launcher;
  private final Settings settings;
  private final FencingCheck fencing;
  private final Map<String, OrderedUpstream> upstreams = new LinkedHashMap<>();
  private final Map<String, String> upstreamByOrder = new HashMap<>();
  private final Set<String> dataCentresWithoutCapacity = new HashSet<>();
  private long starts;
  private long stops;
  private long reclaims;
  private boolean closed;

  /** How the interface behaves. */
  private record Settings(
      long startMillis,
      long stopMillis,
      double onDemandCostPerHour,
      double reclaimableCostPerHour) {}

  private OrderStandIn(
      Timer timer,
      Faults faults,
      UpstreamLauncher launcher,
      Settings settings,
      boolean checksFencing) {
    this.timer = timer;
    this.faults = faults;
    this.launcher = launcher;
    this.settings = settings;
    this.fencing = FencingCheck.create(checksFencing, faults);
  }

  /** Returns the faults of this stand-in, switched off. */
  public static Faults faults(long seed) {
    return Faults.of(
        seed, Fault.NO_CAPACITY, Fault.RECLAIM_NOTICE_MILLIS, Fault.IGNORE_FENCING, Fault.SLOWDOWN);
  }

  /**
   * Returns a stand-in without upstreams; options {@code startMillis}, {@code stopMillis}, {@code
   * onDemandCostPerHour}, {@code reclaimableCostPerHour} and {@code checksFencing}.
   */
  public static OrderStandIn create(
      Timer timer, Faults faults, Options options, UpstreamLauncher launcher) {
    Settings settings =
        new Settings(
            options.number("startMillis", START_MILLIS),
            options.number("stopMillis", STOP_MILLIS),
            options.decimal("onDemandCostPerHour", ON_DEMAND_COST_PER_HOUR),
            options.decimal("reclaimableCostPerHour", RECLAIMABLE_COST_PER_HOUR));
    boolean checksFencing = options.flag("checksFencing", true);
    return new OrderStandIn(timer, faults, launcher, settings, checksFencing);
  }

  @Override
  public void handle(Call call) {
    String operation = call.method() + " " + call.path();
    switch (operation) {
      case "POST /v1/orders" -> call.answer(order(call.json()));
      case "GET /v1/upstreams" ->
          call.answer(Answer.json(200, list(call.query("dataCentre").orElse(""))));
      default -> call.answer(Answer.notFound());
    }
  }

  @Override
  public ObjectNode state() {
    ObjectNode state =
        Json.object()
            .put("starts", starts)
            .put("stops", stops)
            .put("reclaims", reclaims)
            .put("spent", spent());
    fencing.describe(state);
    return state;
  }

  @Override
  public void faultChanged(Fault fault, double value, String dataCentre) {
    if (fault == Fault.NO_CAPACITY && !dataCentre.isEmpty()) {
      if (value > 0) {
        dataCentresWithoutCapacity.add(dataCentre);
      } else {
        dataCentresWithoutCapacity.remove(dataCentre);
      }
    }
    if (fault == Fault.RECLAIM_NOTICE_MILLIS && value > 0) {
      reclaim(dataCentre, (long) value);
    }
  }

  @Override
  public void close() {
    closed = true;
    upstreams.values().forEach(upstream -> upstream.end(timer.nowMillis()));
  }

  private Answer order(JsonNode body) {
    long fencingNumber = body.path("fencingNumber").asLong();
    if (!fencing.accepts(fencingNumber)) {
      return fencing.refusal(fencingNumber);
    }
    String orderId = body.path("orderId").asText();
    String earlier = upstreamByOrder.get(orderId);
    if (earlier != null) {
      return accepted(orderId, earlier);
    }
    return switch (body.path("action").asText()) {
      case "start" -> start(parse(orderId, body));
      case "stop" -> stop(orderId, body.path("upstreamId").asText());
      default -> Answer.error(400, "malformed-request", "action is not start or stop");
    };
  }

  private static OrderedUpstream.StartOrder parse(String orderId, JsonNode body) {
    return new OrderedUpstream.StartOrder(
        orderId,
        body.path("dataCentre").asText(),
        body.path("service").asText(),
        Market.valueOf(body.path("market").asText()));
  }

  private Answer start(OrderedUpstream.StartOrder order) {
    if (!hasCapacity(order.dataCentre())) {
      return Answer.error(503, "no-capacity", "none available in " + order.dataCentre());
    }
    starts++;
    String id = order.service() + "-ordered-" + starts;
    boolean onDemand = order.market() == Market.ON_DEMAND;
    double costPerHour =
        onDemand ? settings.onDemandCostPerHour() : settings.reclaimableCostPerHour();
    OrderedUpstream upstream = new OrderedUpstream(id, order, costPerHour, timer.nowMillis());
    upstreams.put(id, upstream);
    upstreamByOrder.put(order.orderId(), id);
    double factor = faults.valueOr(Fault.SLOWDOWN, 1);
    timer.scheduleMillis((long) (settings.startMillis() * factor), () -> launch(upstream));
    return accepted(order.orderId(), id);
  }

  private boolean hasCapacity(String dataCentre) {
    return !faults.on(Fault.NO_CAPACITY) && !dataCentresWithoutCapacity.contains(dataCentre);
  }

  private void launch(OrderedUpstream upstream) {
    if (closed || !upstream.listed()) {
      return;
    }
    var unused =
        launcher
            .launch(upstream.order().service(), upstream.id())
            .subscribe(
                running -> timer.schedule(0, () -> started(upstream, running)),
                e -> Logger.error(e, "upstream {} did not start", upstream.id()));
  }

  private void started(OrderedUpstream upstream, RunningStandIn running) {
    if (closed || !upstream.listed()) {
      running.close();
      return;
    }
    upstream.started(running, timer.nowMillis());
  }

  private Answer stop(String orderId, String upstreamId) {
    OrderedUpstream upstream = upstreams.get(upstreamId);
    if (upstream == null) {
      return Answer.error(404, "not-found", "upstream " + upstreamId);
    }
    stops++;
    upstreamByOrder.put(orderId, upstreamId);
    if (upstream.listed()) {
      upstream.stop();
      timer.scheduleMillis(settings.stopMillis(), () -> upstream.end(timer.nowMillis()));
    }
    return accepted(orderId, upstreamId);
  }

  private void reclaim(String dataCentre, long noticeMillis) {
    long atMillis = timer.nowMillis() + noticeMillis;
    for (OrderedUpstream upstream : upstreams.values()) {
      boolean there = dataCentre.isEmpty() || upstream.order().dataCentre().equals(dataCentre);
      boolean reclaimable = upstream.order().market() == Market.RECLAIMABLE;
      if (there && reclaimable && upstream.listed()) {
        reclaims++;
        upstream.reclaim(atMillis);
        timer.scheduleMillis(noticeMillis, () -> upstream.end(timer.nowMillis()));
      }
    }
  }

  private static Answer accepted(String orderId, String upstreamId) {
    return Answer.json(202, Json.object().put("orderId", orderId).put("upstreamId", upstreamId));
  }

  private ObjectNode list(String dataCentre) {
    ArrayNode list = Json.array();
    upstreams.values().stream()
        .filter(OrderedUpstream::listed)
        .filter(each -> dataCentre.isEmpty() || each.order().dataCentre().equals(dataCentre))
        .forEach(each -> list.add(each.describe(HOST)));
    ObjectNode answer = Json.object();
    answer.set("upstreams", list);
    return answer.put("spent", spent());
  }

  private double spent() {
    long nowMillis = timer.nowMillis();
    return upstreams.values().stream().mapToDouble(each -> each.cost(nowMillis)).sum();
  }
}
