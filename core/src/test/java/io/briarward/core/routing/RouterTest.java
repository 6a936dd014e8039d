package io.briarward.core.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.errors.ErrorKind;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RouterTest {
  private static final String SERVICE = "recipe-llm";

  private final Router router =
      Router.create("nadi", RoutingPolicy.DEFAULT, new SplittableRandom(7));

  @Test
  void choosesLeastOutstandingUpstream() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a"), upstream("b")));
    router.onLoadReport("a", new LoadReport(8, 4, 8, 1, 1_000), 1_000);
    router.onLoadReport("b", new LoadReport(1, 0, 8, 1, 1_000), 1_000);
    assertThat(chosenId(request().build(), 1_000)).isEqualTo("b");
  }

  @Test
  void leavingUpstreamReceivesNoWork() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a")));
    router.markLeaving("a");
    assertThat(rejectionKind(request().build(), 0)).isEqualTo(ErrorKind.NO_UPSTREAM);
  }

  /** The usual way: it leaves, ends, cannot be reached, and another process takes its id. */
  @Test
  void upstreamThatReplacesOneThatLeftReceivesWork() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a"), upstream("b")));
    router.markLeaving("a");
    for (int i = 0; i < UpstreamHealth.FAILURES_BEFORE_EJECTION; i++) {
      router.onUnreachable("a", 0);
    }
    router.unmarkLeaving("a");
    RouteRequest toA = request().excluded(ImmutableSet.of("b")).build();
    assertThat(rejectionKind(toA, 0)).isEqualTo(ErrorKind.NO_UPSTREAM);
    assertThat(chosenId(toA, UpstreamHealth.MIN_EJECTION_MILLIS)).isEqualTo("a");
  }

  @Test
  void removedUpstreamReceivesNoWork() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a"), upstream("b")));
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("b")));
    assertThat(chosenId(request().build(), 0)).isEqualTo("b");
  }

  @Test
  void staleUpstreamIsRejectedWithStaleBound() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a")));
    router.onLoadReport("a", new LoadReport(0, 0, 8, 4, 0), 0);
    assertThat(rejectionKind(request().minWeightVersion(5).build(), 0))
        .isEqualTo(ErrorKind.STALE_BOUND);
  }

  @Test
  void excludedUpstreamIsNotChosen() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a"), upstream("b")));
    RouteRequest request = request().excluded(ImmutableSet.of("a")).build();
    assertThat(chosenId(request, 0)).isEqualTo("b");
  }

  @Test
  void ownRequestsAreNotCountedTwice() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a"), upstream("b")));
    // The report of "a" counts the two requests that this node has in flight there.
    RouteRequest toA = request().excluded(ImmutableSet.of("b")).build();
    chosenId(toA, 0);
    chosenId(toA, 0);
    router.onLoadReport("a", new LoadReport(2, 0, 8, 1, 100), 200);
    router.onLoadReport("b", new LoadReport(3, 0, 8, 1, 100), 200);
    assertThat(chosenId(request().build(), 200)).isEqualTo("a");
  }

  @Test
  void ejectedUpstreamIsReadmittedWithOneRequestInFlight() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a"), upstream("b")));
    for (int i = 0; i < UpstreamHealth.FAILURES_BEFORE_EJECTION; i++) {
      router.onUnreachable("a", 0);
    }
    RouteRequest toA = request().excluded(ImmutableSet.of("b")).build();
    assertThat(rejectionKind(toA, UpstreamHealth.MIN_EJECTION_MILLIS - 1))
        .isEqualTo(ErrorKind.NO_UPSTREAM);
    assertThat(chosenId(toA, UpstreamHealth.MIN_EJECTION_MILLIS)).isEqualTo("a");
    assertThat(rejectionKind(toA, UpstreamHealth.MIN_EJECTION_MILLIS))
        .isEqualTo(ErrorKind.NO_UPSTREAM);
  }

  @Test
  void groupStaysOnOneUpstreamWithinTheLoadBound() {
    router.replaceUpstreams(
        SERVICE, ImmutableList.of(upstream("a"), upstream("b"), upstream("c"), upstream("d")));
    RouteRequest sample = request().group("group-1").promptTokens(8_000).build();
    ImmutableSet.Builder<String> used = ImmutableSet.builder();
    for (int i = 0; i < 8; i++) {
      used.add(chosenId(sample, i));
    }
    assertThat(used.build()).hasSize(1);
  }

  @Test
  void groupSharesOneUpstreamAcrossNodes() {
    RouteRequest sample = request().group("group-1").promptTokens(8_000).build();
    ImmutableSet.Builder<String> used = ImmutableSet.builder();
    for (int node = 0; node < 5; node++) {
      Router other = Router.create("nadi", RoutingPolicy.DEFAULT, new SplittableRandom(node));
      other.replaceUpstreams(SERVICE, manyUpstreams());
      used.add(((RouteResult.Chosen) other.choose(sample, 0)).choice().upstream().id());
    }
    assertThat(used.build()).hasSize(1);
  }

  @Test
  void upstreamWithCachedPrefixIsChosenAmongMany() {
    router.replaceUpstreams(SERVICE, manyUpstreams());
    CacheEvent stored = new CacheEvent(1, CacheEvent.Type.STORED, 42);
    router.onCacheEvents("u77", ImmutableList.of(stored), 0);
    RouteRequest prompted = request().prefixHash(42).promptTokens(8_000).build();
    assertThat(chosenId(prompted, 0)).isEqualTo("u77");
  }

  @Test
  void noReuseIsExpectedAfterEviction() {
    router.replaceUpstreams(SERVICE, manyUpstreams());
    CacheEvent stored = new CacheEvent(1, CacheEvent.Type.STORED, 42);
    CacheEvent evicted = new CacheEvent(2, CacheEvent.Type.EVICTED, 42);
    router.onCacheEvents("u77", ImmutableList.of(stored), 0);
    router.onCacheEvents("u77", ImmutableList.of(evicted), 10_000);
    RouteRequest prompted = request().prefixHash(42).promptTokens(8_000).build();
    assertThat(choice(prompted, 10_000).reuseExpected()).isFalse();
  }

  @Test
  void longQueueOutweighsCachedPrefix() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a"), upstream("b")));
    CacheEvent stored = new CacheEvent(1, CacheEvent.Type.STORED, 42);
    router.onCacheEvents("a", ImmutableList.of(stored), 0);
    router.onLoadReport("a", new LoadReport(8, 8, 8, 1, 0), 0);
    RouteRequest prompted = request().prefixHash(42).promptTokens(1_000).build();
    assertThat(chosenId(prompted, 0)).isEqualTo("b");
  }

  @Test
  void remoteUpstreamIsChosenIfThereIsNoLocalOne() {
    Upstream remote = new Upstream("r", "ba", "127.0.0.1", 9_000, false, false, 8);
    router.replaceUpstreams(SERVICE, ImmutableList.of(remote));
    assertThat(chosenId(request().build(), 0)).isEqualTo("r");
  }

  @Test
  void choiceReleasedTwiceCountsOnce() {
    router.replaceUpstreams(SERVICE, ImmutableList.of(upstream("a")));
    UpstreamChoice choice = choice(request().build(), 0);
    router.onFinished(choice, 10);
    router.onFailed(choice, 10);
    assertThat(router.localLoad(SERVICE, 10).orElseThrow().outstanding()).isEqualTo(0.0);
  }

  private static Upstream upstream(String id) {
    return new Upstream(id, "nadi", "127.0.0.1", 9_000, false, false, 8);
  }

  private static ImmutableList<Upstream> manyUpstreams() {
    return IntStream.range(0, 100)
        .mapToObj(i -> upstream("u" + i))
        .collect(ImmutableList.toImmutableList());
  }

  private static RouteRequest.Builder request() {
    return RouteRequest.builder(SERVICE, "vatuwaqa");
  }

  private UpstreamChoice choice(RouteRequest request, long nowMillis) {
    return router
        .choose(request, nowMillis)
        .match(
            RouteResult.Chosen::choice,
            rejected -> {
              throw new AssertionError("expected an upstream, got " + rejected);
            });
  }

  private String chosenId(RouteRequest request, long nowMillis) {
    return choice(request, nowMillis).upstream().id();
  }

  private ErrorKind rejectionKind(RouteRequest request, long nowMillis) {
    return router
        .choose(request, nowMillis)
        .match(
            chosen -> {
              throw new AssertionError("expected a rejection, got " + chosen);
            },
            RouteResult.Rejected::kind);
  }
}
