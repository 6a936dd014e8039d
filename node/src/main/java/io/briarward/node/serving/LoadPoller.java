package io.briarward.node.serving;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.FailureException;
import io.briarward.core.routing.CacheEvent;
import io.briarward.core.routing.LoadReport;
import io.briarward.core.routing.Router;
import io.briarward.node.serving.UpstreamCatalogue.LocalUpstream;
import io.briarward.node.timing.Timers;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Polls the load and the cache events of the upstreams in the local data centre.
 *
 * <p>The upstreams are polled in turn, each once per second if there are at most {@value
 * #POLLS_PER_SECOND}. If there are more, each is polled less often, so that the traffic is bounded.
 * Confined to the event loop of its scheduler.
 */
final class LoadPoller implements AutoCloseable {
  private static final int POLLS_PER_SECOND = 20;
  private static final long TICK_INTERVAL_MILLIS = 1_000 / POLLS_PER_SECOND;
  private static final long MIN_ROUND_MILLIS = 1_000;
  private static final int MAX_RESPONSE_BYTES = 16 << 10;
  private static final int HASH_RADIX = 16;

  private final Router router;
  private final UpstreamCatalogue catalogue;
  private final Scheduler scheduler;
  private final LongSupplier wallMillis;
  private final BoundedJsonClient client;
  private final Set<String> inFlight = new HashSet<>();
  private final Map<String, Long> lastCacheSequences = new HashMap<>();
  private final Disposable tickTimer;
  private int nextIndex;
  private long roundEndsAtMillis;

  private LoadPoller(
      Vertx vertx,
      Router router,
      UpstreamCatalogue catalogue,
      LeavingObserver observer,
      Scheduler scheduler,
      LongSupplier wallMillis) {
    this.router = router;
    this.catalogue = catalogue;
    this.scheduler = scheduler;
    this.wallMillis = wallMillis;
    this.client = BoundedJsonClient.create(vertx, observer, MAX_RESPONSE_BYTES);
    this.tickTimer = Timers.every(scheduler, TICK_INTERVAL_MILLIS, this::pollNext);
  }

  /**
   * Starts to poll the upstreams.
   *
   * @param wallMillis the wall clock in milliseconds since the Unix epoch, by which upstreams
   *     timestamp their load reports
   */
  static LoadPoller start(
      Vertx vertx,
      Router router,
      UpstreamCatalogue catalogue,
      LeavingObserver observer,
      Scheduler scheduler,
      LongSupplier wallMillis) {
    return new LoadPoller(vertx, router, catalogue, observer, scheduler, wallMillis);
  }

  @Override
  public void close() {
    tickTimer.dispose();
    client.close();
  }

  private void pollNext() {
    ImmutableList<LocalUpstream> upstreams = catalogue.localUpstreams();
    if (nextIndex >= upstreams.size()) {
      if (nowMillis() < roundEndsAtMillis) {
        return;
      }
      nextIndex = 0;
      roundEndsAtMillis = nowMillis() + MIN_ROUND_MILLIS;
    }
    if (!upstreams.isEmpty()) {
      poll(upstreams.get(nextIndex));
      nextIndex++;
    }
  }

  private void poll(LocalUpstream localUpstream) {
    Upstream upstream = localUpstream.upstream();
    if (!inFlight.add(upstream.id())) {
      return;
    }
    Single<JsonNode> load =
        client.get(upstream, "/v1/load").doOnSuccess(node -> onLoad(upstream.id(), node));
    Single<JsonNode> calls =
        localUpstream.kind() == Service.Kind.MODEL
            ? load.flatMap(unused -> pollCache(upstream))
            : load;
    var unused =
        calls
            .observeOn(scheduler)
            .doFinally(() -> inFlight.remove(upstream.id()))
            .subscribe(ignored -> {}, error -> onError(upstream.id(), error));
  }

  private void onLoad(String upstreamId, JsonNode node) {
    long ageMillis = Math.max(0, wallMillis.getAsLong() - node.path("measuredAtMillis").asLong());
    LoadReport report =
        new LoadReport(
            Math.max(0, node.path("running").asInt()),
            Math.max(0, node.path("queued").asInt()),
            Math.max(1, node.path("batchLimit").asInt()),
            Math.max(0, node.path("weightVersion").asLong()),
            nowMillis() - ageMillis);
    router.onLoadReport(upstreamId, report, nowMillis());
  }

  private Single<JsonNode> pollCache(Upstream upstream) {
    long after = lastCacheSequences.getOrDefault(upstream.id(), 0L);
    return client
        .get(upstream, "/v1/cache/events?after=" + after)
        .doOnSuccess(node -> onCacheEvents(upstream.id(), node));
  }

  private void onCacheEvents(String upstreamId, JsonNode node) {
    ImmutableList.Builder<CacheEvent> events = ImmutableList.builder();
    for (JsonNode event : node.path("events")) {
      CacheEvent.Type type =
          event.path("type").asText().equals("EVICTED")
              ? CacheEvent.Type.EVICTED
              : CacheEvent.Type.STORED;
      long hash = Long.parseUnsignedLong(event.path("prefixHash").asText(), HASH_RADIX);
      events.add(new CacheEvent(event.path("sequence").asLong(), type, hash));
    }
    router.onCacheEvents(upstreamId, events.build(), nowMillis());
    lastCacheSequences.put(upstreamId, node.path("last").asLong());
  }

  /**
   * Handles a failed poll: reports the upstream as unreachable if it did not respond.
   *
   * <p>An unexpected response does not count, since a plain service need not report its load. Cache
   * events that exceed the maximum response size are skipped: the next poll starts after the last
   * event.
   */
  private void onError(String upstreamId, Throwable error) {
    if (!(error instanceof FailureException failed)) {
      router.onUnreachable(upstreamId, nowMillis());
    } else if (failed.failure().kind() == ErrorKind.BODY_TOO_LARGE) {
      lastCacheSequences.put(upstreamId, Long.MAX_VALUE);
    }
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
