package io.briarward.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.FencingCheck;
import io.briarward.standins.http.History;
import io.briarward.standins.http.Json;
import io.briarward.standins.http.Response;
import io.briarward.standins.http.StandIn;
import io.briarward.standins.http.Timer;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A stand-in for a model engine with continuous batching.
 *
 * <p>Serves completions, load reports, prefix cache events, orders, and transfers of KV caches and
 * weights. Confined to its event loop.
 */
public final class EngineStandIn implements StandIn {
  private static final String COMPLETIONS = "/v1/completions";

  private final Timer timer;
  private final Faults faults;
  private final EngineSettings settings;
  private final ContinuousBatch batch;
  private final CompletionLoop completions;
  private final CacheEvents cacheEvents = new CacheEvents();
  private final WeightLoader weights;
  private final FencingCheck fencing;
  private final History<LoadReport> loadReports;
  private final List<String> adapters = new ArrayList<>();
  private String role = "";
  private String model = "";

  private EngineStandIn(Vertx vertx, Timer timer, Faults faults, EngineSettings settings) {
    this.timer = timer;
    this.faults = faults;
    this.settings = settings;
    this.batch = new ContinuousBatch(settings, this::recordCacheUse);
    this.weights = new WeightLoader(vertx, timer, settings, faults);
    this.fencing = FencingCheck.create(settings.checksFencing(), faults);
    this.loadReports = History.startingWith(loadReport());
    this.completions =
        new CompletionLoop(
            timer, faults, settings.instance(), batch, weights::weightVersion, this::recordLoad);
  }

  /** Returns the faults that this stand-in supports, all switched off. */
  public static Faults faults(long seed) {
    return Faults.of(
        seed,
        Fault.GARBAGE_SHARE,
        Fault.TRUNCATED_SHARE,
        Fault.SLOWDOWN,
        Fault.WEIGHT_LOAD_FAILURE,
        Fault.CACHE_EVENT_GAP_SHARE,
        Fault.IGNORE_FENCING,
        Fault.LEAVING,
        Fault.LAG_MILLIS);
  }

  /** Creates an idle engine. */
  public static EngineStandIn create(
      Vertx vertx, Timer timer, Faults faults, EngineSettings settings) {
    return new EngineStandIn(vertx, timer, faults, settings);
  }

  @Override
  public void handle(Exchange exchange) {
    String operation = exchange.method() + " " + exchange.path();
    switch (operation) {
      case "POST " + COMPLETIONS -> completions.start(exchange);
      case "GET /v1/load" -> exchange.respond(Response.json(200, laggedLoadReport()));
      case "GET /v1/cache/events" -> exchange.respond(Response.json(200, cacheEvents(exchange)));
      case "POST /v1/orders" -> handleOrder(exchange);
      case "GET /control/requests" -> exchange.respond(Response.json(200, endedRequests()));
      default -> handleResource(exchange);
    }
  }

  @Override
  public ObjectNode state() {
    ObjectNode state = Json.object();
    state.put("service", settings.service()).put("instance", settings.instance());
    completions.addCounters(state);
    state.put("running", batch.running().size()).put("queued", batch.waitingCount());
    state.put("weightVersion", weights.weightVersion());
    state.put("loadingVersion", weights.loadingVersion());
    state.put("weightLoadFailures", weights.failures());
    state.put("role", role).put("model", model).set("adapters", Json.tree(adapters));
    fencing.addCounters(state);
    return state;
  }

  @Override
  public void onFaultChanged(Fault fault, double value, String dataCentre) {
    if (fault == Fault.SLOWDOWN) {
      completions.rescheduleStep();
    }
  }

  @Override
  public void crash() {
    completions.cancelAll();
    batch.clearCache();
    weights.reset();
    adapters.clear();
    role = "";
    model = "";
    recordLoad();
  }

  @Override
  public void close() {
    completions.close();
    weights.close();
  }

  private ObjectNode endedRequests() {
    return Json.object().set("requests", completions.describeEnded());
  }

  private void handleResource(Exchange exchange) {
    ImmutableList<String> path = exchange.segments();
    String operation = exchange.method() + " " + (path.size() > 1 ? path.get(1) : "");
    String last = path.get(path.size() - 1);
    switch (operation) {
      case "DELETE completions" -> {
        completions.cancel(last);
        exchange.respond(Response.empty(204));
      }
      case "GET kv" -> exchange.respond(exportKv(last));
      case "PUT kv" -> {
        batch.importKv(last);
        exchange.respond(Response.empty(204));
      }
      case "GET weights" -> exchange.respond(findWeights(Long.parseLong(last)));
      default -> exchange.respond(Response.notFound());
    }
  }

  private Response findWeights(long version) {
    return weights
        .weights(version)
        .map(bytes -> Response.bytes(200, bytes))
        .orElseGet(Response::notFound);
  }

  private Response exportKv(String requestId) {
    Optional<ObjectNode> kv =
        batch.running().stream()
            .filter(generation -> generation.request().id().equals(requestId))
            .findFirst()
            .map(EngineStandIn::describeKv);
    return Response.okOrNotFound(kv);
  }

  private static ObjectNode describeKv(Generation generation) {
    return Json.object()
        .put("requestId", generation.request().id())
        .put("prompt", generation.request().prompt())
        .put("tokens", generation.nextToken());
  }

  private void handleOrder(Exchange exchange) {
    OrderRequest order = OrderRequest.parse(exchange.json());
    if (!fencing.tryAccept(order.fencingNumber())) {
      exchange.respond(fencing.rejection(order.fencingNumber()));
      return;
    }
    switch (order.kind()) {
      case LOAD_WEIGHTS -> weights.load(order.version(), order.source());
      case LOAD_ADAPTER -> adapters.add(order.name());
      case LOAD_MODEL -> model = order.name();
      case SET_ROLE -> role = order.name();
      default -> throw new AssertionError(order.kind());
    }
    recordLoad();
    exchange.respond(Response.json(202, Json.object().put("kind", order.kind().name())));
  }

  private void recordCacheUse(PrefixCache.Use use) {
    use.stored().forEach(hash -> recordCacheEvent(CacheEvents.Type.STORED, hash));
    use.evicted().forEach(hash -> recordCacheEvent(CacheEvents.Type.EVICTED, hash));
  }

  private void recordCacheEvent(CacheEvents.Type type, String hash) {
    long visibleMillis = timer.nowMillis() + settings.cacheEventDelayMillis();
    boolean lost = faults.shouldInject(Fault.CACHE_EVENT_GAP_SHARE);
    cacheEvents.record(type, hash, visibleMillis, lost);
  }

  private ObjectNode cacheEvents(Exchange exchange) {
    long after = exchange.query("after").map(Long::parseLong).orElse(0L);
    long last = after;
    ArrayNode list = Json.array();
    for (CacheEvents.Event event : cacheEvents.after(after, timer.nowMillis())) {
      list.addObject()
          .put("sequence", event.sequence())
          .put("type", event.type().name())
          .put("prefixHash", event.prefixHash());
      last = event.sequence();
    }
    ObjectNode response = Json.object();
    response.set("events", list);
    return response.put("last", last);
  }

  private ObjectNode laggedLoadReport() {
    recordLoad();
    long lagMillis = (long) faults.valueOr(Fault.LAG_MILLIS, (double) settings.loadLagMillis());
    return (ObjectNode) Json.tree(loadReports.asOf(timer.nowMillis() - lagMillis));
  }

  private void recordLoad() {
    loadReports.put(timer.nowMillis(), loadReport());
  }

  private LoadReport loadReport() {
    return new LoadReport(
        batch.running().size(),
        batch.waitingCount(),
        settings.batchLimit(),
        weights.weightVersion(),
        weights.loadingVersion(),
        timer.nowMillis(),
        batch.kvTokens(),
        settings.kvLimitTokens());
  }
}
