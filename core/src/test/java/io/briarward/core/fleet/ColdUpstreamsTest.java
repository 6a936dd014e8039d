package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ColdUpstreamsTest {
  private static final double RATE = 4;

  private final LimitShares shares = LimitShares.create("a");
  private final RequestLimits limits = new RequestLimits(shares);
  private final ColdUpstreams cold = limits.cold();
  private final UpstreamEntry upstream = upstream(1, 10_000);

  private static UpstreamEntry upstream(long startedAtMillis, long coldMillis) {
    return new UpstreamEntry(
        "u",
        "orders",
        "nadi",
        "10.0.0.1",
        80,
        startedAtMillis,
        4,
        false,
        false,
        "1",
        ImmutableMap.of(),
        coldMillis);
  }

  private static ImmutableMap<String, FleetService> services(Optional<FleetService.Warmup> warmup) {
    return ImmutableMap.of(
        "orders",
        new FleetService(
            "orders", 10, 0, ImmutableList.of(), Optional.empty(), warmup, ImmutableList.of()));
  }

  @BeforeEach
  void establish() {
    cold.setServices(services(Optional.of(new FleetService.Warmup(10_000, RATE))));
    SenderView view = SenderView.create("a");
    view.onRow("a", false, true, 0);
    shares.setSenders(view);
    connect(view, 0, 60_000);
  }

  private static void connect(SenderView view, long fromMillis, long untilMillis) {
    for (long nowMillis = fromMillis; nowMillis <= untilMillis; nowMillis += 250) {
      view.onContact(nowMillis, true, nowMillis);
    }
  }

  /** Sends whenever permitted, each 10 ms, and returns the number of requests. */
  private int send(long fromMillis, long untilMillis) {
    int sent = 0;
    for (long nowMillis = fromMillis; nowMillis < untilMillis; nowMillis += 10) {
      while (limits.permits(upstream, nowMillis)) {
        limits.onSent(upstream);
        sent++;
      }
    }
    return sent;
  }

  @Test
  void upstreamIsPacedFromItsRowUntilItIsWarm() {
    cold.onRow(upstream, 50_000);
    assertThat(limits.permits(upstream, 50_000)).isFalse();
    assertThat(send(50_000, 55_010)).isEqualTo(20);
    assertThat(limits.permits(upstream, 59_999)).isTrue();
    limits.onSent(upstream);
    assertThat(limits.permits(upstream, 59_999)).isFalse();
    assertThat(limits.permits(upstream, 60_000)).isTrue();
    assertThat(cold.isCold(upstream, 60_000)).isFalse();
  }

  /** The cold time of a warm upstream may rise at any moment, in a row or a response. */
  @Test
  void warmUpstreamMayBecomeCold() {
    cold.onRow(upstream(1, 0), 50_000);
    assertThat(limits.permits(upstream, 50_000)).isTrue();
    cold.onResponse(upstream, 500, 50_100);
    assertThat(limits.permits(upstream, 50_100)).isFalse();
    assertThat(limits.permits(upstream, 50_600)).isTrue();
    cold.onRow(upstream(1, 300), 50_700);
    assertThat(limits.permits(upstream, 50_700)).isFalse();
  }

  /** Rows arrive later than responses, and responses come from some requests only. */
  @Test
  void laterOfRowAndResponseDecides() {
    cold.onResponse(upstream, 5_000, 50_000);
    cold.onRow(upstream(1, 0), 50_100);
    assertThat(cold.isCold(upstream, 54_999)).isTrue();
    cold.onRow(upstream(1, 10_000), 50_200);
    cold.onResponse(upstream, 0, 50_300);
    assertThat(cold.isCold(upstream, 60_199)).isTrue();
    assertThat(cold.isCold(upstream, 60_200)).isFalse();
  }

  @Test
  void serviceWithoutWarmupIsNotPaced() {
    cold.setServices(services(Optional.empty()));
    cold.onRow(upstream, 50_000);
    cold.onResponse(upstream, 10_000, 50_000);
    for (int i = 0; i < 100; i++) {
      assertThat(limits.permits(upstream, 50_000)).isTrue();
      limits.onSent(upstream);
    }
    assertThat(cold.count(50_000)).isEqualTo(0);
    assertThat(cold.changes(50_000)).isEmpty();
  }

  @Test
  void restartedUpstreamHasItsOwnTime() {
    cold.onRow(upstream, 50_000);
    assertThat(cold.isCold(upstream(2, 0), 50_000)).isFalse();
  }

  @Test
  void lowerOfNamedLimitAndColdRateBinds() {
    cold.onRow(upstream, 50_000);
    limits.onNotice(upstream, OptionalDouble.of(1), 50_000);
    assertThat(send(50_000, 55_010)).isEqualTo(5);
    limits.onNotice(upstream, OptionalDouble.of(100), 55_010);
    assertThat(send(55_010, 58_020)).isAtMost(13);
    assertThat(limits.acceptedPerSecond(upstream, 58_020)).hasValue(RATE);
  }

  @Test
  void nodeWithoutRowsOfOthersSendsNothing() {
    shares.setSenders(SenderView.create("a"));
    cold.onRow(upstream, 50_000);
    assertThat(send(50_000, 59_000)).isEqualTo(0);
    assertThat(cold.waitMillis(Stream.of(upstream), 50_000)).isEmpty();
  }

  @Test
  void retryDelayIsTheTimeUntilTheNextRequest() {
    cold.onRow(upstream, 50_000);
    assertThat(limits.retryAfterMillis(ImmutableList.of(upstream), 50_000)).hasValue(250);
    assertThat(limits.retryAfterMillis(ImmutableList.of(upstream), 50_100)).hasValue(150);
    shares.setSenders(SenderView.create("a"));
    assertThat(limits.retryAfterMillis(ImmutableList.of(upstream), 50_100)).hasValue(250);
    assertThat(limits.retryAfterMillis(ImmutableList.of(upstream), 60_000))
        .isEqualTo(OptionalLong.empty());
  }

  @Test
  void eachChangeIsToldOnce() {
    cold.onRow(upstream, 50_000);
    assertThat(cold.changes(50_000))
        .containsExactly(new ColdUpstreams.Change(upstream, true, RATE, RATE));
    assertThat(cold.changes(59_999)).isEmpty();
    assertThat(cold.count(59_999)).isEqualTo(1);
    assertThat(cold.changes(60_000))
        .containsExactly(new ColdUpstreams.Change(upstream, false, RATE, 0));
    assertThat(cold.changes(60_001)).isEmpty();
    assertThat(cold.count(60_001)).isEqualTo(0);
  }

  /** A data centre returns cold and each node has more requests than its share. */
  @Test
  void sharesOfAllNodesAddUpToTheRate() {
    int nodes = 77;
    FleetService service =
        services(Optional.of(new FleetService.Warmup(10_000, 9.5))).get("orders");
    double total = 0;
    int senders = 0;
    for (int i = 0; i < nodes; i++) {
      SenderView view = SenderView.create("n" + i);
      for (int j = 0; j < nodes; j++) {
        view.onRow("n" + j, i != j, true, 0);
      }
      view.onRow("n" + i, false, true, 0);
      connect(view, 0, 250);
      LimitShares own = LimitShares.create("n" + i);
      own.setSenders(view);
      ColdLimit limit = ColdLimit.of(service, service.warmup().orElseThrow(), FleetBounds.DEFAULT);
      double share = own.evenShare(upstream, limit.maxSenders(), 250);
      total += share * limit.perSecond();
      senders += share > 0 ? 1 : 0;
    }
    assertThat(total).isWithin(1e-9).of(9.5);
    assertThat(senders).isEqualTo(8);
  }

  @Test
  void evacuatedDataCentreGetsNothing() {
    limits.evacuated().add("nadi");
    assertThat(limits.permits(upstream, 0)).isFalse();
    assertThat(limits.evacuated().names()).isEqualTo(ImmutableSet.of("nadi"));
    limits.evacuated().remove("nadi");
    assertThat(limits.permits(upstream, 0)).isTrue();
  }
}
