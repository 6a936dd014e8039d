package io.briarward.standins.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.FencingCheck;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Options;
import io.briarward.standins.http.Response;
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
 * A stand-in for the platform's interface that orders upstreams in a data centre.
 *
 * <p>Starts and stops upstreams in this process and sums up their cost. The faults {@code
 * noCapacity} and {@code reclaimNoticeMillis} may be limited to a data centre. Confined to its
 * event loop.
 */
public final class OrderStandIn implements StandIn {
  private static final String HOST = "127.0.0.1";
  private static final long DEFAULT_START_MILLIS = 1_000;
  private static final long DEFAULT_STOP_MILLIS = 5_000;
  private static final double DEFAULT_ON_DEMAND_COST_PER_HOUR = 3;
  private static final double DEFAULT_RECLAIMABLE_COST_PER_HOUR = 1;

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

  /** Returns the faults that this stand-in supports, all switched off. */
  public static Faults faults(long seed) {
    return Faults.of(
        seed, Fault.NO_CAPACITY, Fault.RECLAIM_NOTICE_MILLIS, Fault.IGNORE_FENCING, Fault.SLOWDOWN);
  }

  /**
   * Creates a stand-in without upstreams.
   *
   * @param options {@code startMillis}, {@code stopMillis}, {@code onDemandCostPerHour}, {@code
   *     reclaimableCostPerHour} and {@code checksFencing}
   */
  public static OrderStandIn create(
      Timer timer, Faults faults, Options options, UpstreamLauncher launcher) {
    Settings settings =
        new Settings(
            options.number("startMillis", DEFAULT_START_MILLIS),
            options.number("stopMillis", DEFAULT_STOP_MILLIS),
            options.decimal("onDemandCostPerHour", DEFAULT_ON_DEMAND_COST_PER_HOUR),
            options.decimal("reclaimableCostPerHour", DEFAULT_RECLAIMABLE_COST_PER_HOUR));
    boolean checksFencing = options.flag("checksFencing", true);
    return new OrderStandIn(timer, faults, launcher, settings, checksFencing);
  }

  @Override
  public void handle(Exchange exchange) {
    String operation = exchange.method() + " " + exchange.path();
    switch (operation) {
      case "POST /v1/orders" -> exchange.respond(order(exchange.json()));
      case "GET /v1/upstreams" ->
          exchange.respond(Response.json(200, list(exchange.query("dataCentre").orElse(""))));
      default -> exchange.respond(Response.notFound());
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
    fencing.addCounters(state);
    return state;
  }

  @Override
  public void onFaultChanged(Fault fault, double value, String dataCentre) {
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

  private Response order(JsonNode body) {
    long fencingNumber = body.path("fencingNumber").asLong();
    if (!fencing.tryAccept(fencingNumber)) {
      return fencing.rejection(fencingNumber);
    }
    String orderId = body.path("orderId").asText();
    String earlier = upstreamByOrder.get(orderId);
    if (earlier != null) {
      return accepted(orderId, earlier);
    }
    return switch (body.path("action").asText()) {
      case "start" -> start(parse(orderId, body));
      case "stop" -> stop(orderId, body.path("upstreamId").asText());
      default ->
          Response.error(400, "malformed-request", "action is invalid, expected start or stop");
    };
  }

  private static OrderedUpstream.StartOrder parse(String orderId, JsonNode body) {
    return new OrderedUpstream.StartOrder(
        orderId,
        body.path("dataCentre").asText(),
        body.path("service").asText(),
        Market.valueOf(body.path("market").asText()));
  }

  private Response start(OrderedUpstream.StartOrder order) {
    if (!hasCapacity(order.dataCentre())) {
      return Response.error(503, "no-capacity", "no capacity in data centre " + order.dataCentre());
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
    return !faults.isOn(Fault.NO_CAPACITY) && !dataCentresWithoutCapacity.contains(dataCentre);
  }

  private void launch(OrderedUpstream upstream) {
    if (closed || !upstream.isListed()) {
      return;
    }
    var unused =
        launcher
            .launch(upstream.order().service(), upstream.id())
            .subscribe(
                running -> timer.schedule(0, () -> onStarted(upstream, running)),
                e -> Logger.error(e, "failed to start upstream {}", upstream.id()));
  }

  private void onStarted(OrderedUpstream upstream, RunningStandIn running) {
    if (closed || !upstream.isListed()) {
      running.close();
      return;
    }
    upstream.markRunning(running, timer.nowMillis());
  }

  private Response stop(String orderId, String upstreamId) {
    OrderedUpstream upstream = upstreams.get(upstreamId);
    if (upstream == null) {
      return Response.error(404, "not-found", "no such upstream: " + upstreamId);
    }
    stops++;
    upstreamByOrder.put(orderId, upstreamId);
    if (upstream.isListed()) {
      upstream.markStopping();
      timer.scheduleMillis(settings.stopMillis(), () -> upstream.end(timer.nowMillis()));
    }
    return accepted(orderId, upstreamId);
  }

  private void reclaim(String dataCentre, long noticeMillis) {
    long atMillis = timer.nowMillis() + noticeMillis;
    for (OrderedUpstream upstream : upstreams.values()) {
      boolean inDataCentre =
          dataCentre.isEmpty() || upstream.order().dataCentre().equals(dataCentre);
      boolean reclaimable = upstream.order().market() == Market.RECLAIMABLE;
      if (inDataCentre && reclaimable && upstream.isListed()) {
        reclaims++;
        upstream.markReclaiming(atMillis);
        timer.scheduleMillis(noticeMillis, () -> upstream.end(timer.nowMillis()));
      }
    }
  }

  private static Response accepted(String orderId, String upstreamId) {
    return Response.json(202, Json.object().put("orderId", orderId).put("upstreamId", upstreamId));
  }

  private ObjectNode list(String dataCentre) {
    ArrayNode list = Json.array();
    upstreams.values().stream()
        .filter(OrderedUpstream::isListed)
        .filter(each -> dataCentre.isEmpty() || each.order().dataCentre().equals(dataCentre))
        .forEach(each -> list.add(each.toJson(HOST)));
    ObjectNode response = Json.object();
    response.set("upstreams", list);
    return response.put("spent", spent());
  }

  private double spent() {
    long nowMillis = timer.nowMillis();
    return upstreams.values().stream().mapToDouble(each -> each.cost(nowMillis)).sum();
  }
}
