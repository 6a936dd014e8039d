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
 * Polls the load and the cache events of the data centre's upstreams.
 *
 * <p>Each is polled once a second, in turn, while there are at most {@value #POLLS_PER_SECOND};
 * with more, each is polled less often, so that the traffic is bounded. Confined to the event loop
 * of its scheduler.
 */
final class LoadFeed implements AutoCloseable {
  private static final int POLLS_PER_SECOND = 20;
  private static final long TICK_MILLIS = 1_000 / POLLS_PER_SECOND;
  private static final long ROUND_MILLIS = 1_000;
  private static final int MAX_ANSWER_BYTES = 16 << 10;
  private static final int HASH_RADIX = 16;

  private final Router router;
  private final UpstreamCatalogue catalogue;
  private final Scheduler scheduler;
  private final LongSupplier wallMillis;
  private final BoundedFetch fetch;
  private final Set<String> pending = new HashSet<>();
  private final Map<String, Long> lastSequences = new HashMap<>();
  private final Disposable ticking;
  private int next;
  private long roundEndsAtMillis;

  private LoadFeed(
      Vertx vertx,
      Router router,
      UpstreamCatalogue catalogue,
      Scheduler scheduler,
      LongSupplier wallMillis) {
    this.router = router;
    this.catalogue = catalogue;
    this.scheduler = scheduler;
    this.wallMillis = wallMillis;
    this.fetch = BoundedFetch.create(vertx, MAX_ANSWER_BYTES);
    this.ticking = Timers.every(scheduler, TICK_MILLIS, this::pollNext);
  }

  /**
   * Starts polling.
   *
   * @param wallMillis the wall clock, which upstreams stamp their reports with
   */
  static LoadFeed start(
      Vertx vertx,
      Router router,
      UpstreamCatalogue catalogue,
      Scheduler scheduler,
      LongSupplier wallMillis) {
    return new LoadFeed(vertx, router, catalogue, scheduler, wallMillis);
  }

  @Override
  public void close() {
    ticking.dispose();
    fetch.close();
  }

  private void pollNext() {
    ImmutableList<LocalUpstream> upstreams = catalogue.local();
    if (next >= upstreams.size()) {
      if (nowMillis() < roundEndsAtMillis) {
        return;
      }
      next = 0;
      roundEndsAtMillis = nowMillis() + ROUND_MILLIS;
    }
    if (!upstreams.isEmpty()) {
      poll(upstreams.get(next));
      next++;
    }
  }

  private void poll(LocalUpstream polled) {
    Upstream upstream = polled.upstream();
    if (!pending.add(upstream.id())) {
      return;
    }
    Single<JsonNode> load =
        fetch.get(upstream, "/v1/load").doOnSuccess(node -> onLoad(upstream.id(), node));
    Single<JsonNode> polling =
        polled.kind() == Service.Kind.MODEL ? load.flatMap(unused -> pollCache(upstream)) : load;
    var unused =
        polling
            .observeOn(scheduler)
            .doFinally(() -> pending.remove(upstream.id()))
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
    long after = lastSequences.getOrDefault(upstream.id(), 0L);
    return fetch
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
    lastSequences.put(upstreamId, node.path("last").asLong());
  }

  /**
   * Counts failures to answer against the upstream.
   *
   * <p>An answer of another kind says nothing, since a plain service need not report load. Cache
   * events that do not fit are skipped: the next poll starts after the last one.
   */
  private void onError(String upstreamId, Throwable error) {
    if (!(error instanceof FailureException failed)) {
      router.onUnreachable(upstreamId, nowMillis());
    } else if (failed.failure().kind() == ErrorKind.BODY_TOO_LARGE) {
      lastSequences.put(upstreamId, Long.MAX_VALUE);
    }
  }

  private long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
