package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class RequestLimitsTest {
  private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();

  private final LimitShares shares = LimitShares.create("a");
  private final RequestLimits limits = new RequestLimits(shares);
  private final UpstreamEntry upstream = upstream(1);

  private static UpstreamEntry upstream(long startedAtMillis) {
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
        ImmutableMap.of());
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

  private void publish(ImmutableMap<String, Double> limitsByInstance) {
    shares.update(
        ImmutableMap.of(
            "a", NodeDemand.NONE, "b", new NodeDemand(ImmutableMap.of(), limitsByInstance)),
        true);
  }

  @Test
  void upstreamWithoutLimitIsNotPaced() {
    limits.onNotice(upstream, NO_LIMIT, 0);
    for (int i = 0; i < 100; i++) {
      assertThat(limits.permits(upstream, 0)).isTrue();
      limits.onSent(upstream);
    }
    assertThat(limits.named(0)).isEmpty();
  }

  @Test
  void requestsFollowTheNamedLimitFromTheFirstResponse() {
    assertThat(limits.onNotice(upstream, OptionalDouble.of(2), 0)).isTrue();
    assertThat(limits.permits(upstream, 0)).isFalse();
    assertThat(send(0, 5_000)).isEqualTo(9);
    assertThat(limits.sent(upstream)).isEqualTo(9);
  }

  @Test
  void unusedRateIsLostBeyondOneRequest() {
    limits.onNotice(upstream, OptionalDouble.of(2), 0);
    assertThat(send(4_000, 4_010)).isEqualTo(1);
  }

  @Test
  void responseWithoutLimitEndsIt() {
    limits.onNotice(upstream, OptionalDouble.of(2), 0);
    assertThat(limits.onNotice(upstream, OptionalDouble.of(2), 10)).isFalse();
    assertThat(limits.onNotice(upstream, NO_LIMIT, 20)).isTrue();
    assertThat(limits.permits(upstream, 20)).isTrue();
  }

  @Test
  void restartedUpstreamHasNoLimit() {
    limits.onNotice(upstream, OptionalDouble.of(0), 0);
    assertThat(limits.permits(upstream(2), 0)).isTrue();
    assertThat(limits.permits(upstream, 0)).isFalse();
  }

  @Test
  void senderOfZeroLimitAsksEachTenSeconds() {
    limits.onNotice(upstream, OptionalDouble.of(0), 0);
    assertThat(send(0, 9_990)).isEqualTo(0);
    assertThat(send(9_990, 10_010)).isEqualTo(1);
  }

  @Test
  void limitIsForgottenWithoutRecentResponse() {
    limits.onNotice(upstream, OptionalDouble.of(0), 0);
    assertThat(limits.named(RequestLimits.NOTICE_VALID_MILLIS - 1)).containsExactly("u/1", 0.0);
    assertThat(limits.named(RequestLimits.NOTICE_VALID_MILLIS)).isEmpty();
    assertThat(limits.permits(upstream, RequestLimits.NOTICE_VALID_MILLIS)).isTrue();
  }

  @Test
  void publishedLimitHoldsForNodeWithoutRecentResponse() {
    publish(ImmutableMap.of("u/1", 4.0));
    assertThat(send(0, 5_000)).isEqualTo(9);

    publish(ImmutableMap.of());
    assertThat(limits.permits(upstream, 5_000)).isTrue();
  }

  @Test
  void ownResponseWithoutLimitOverridesThePublishedOne() {
    limits.onNotice(upstream, OptionalDouble.of(1), 0);
    publish(ImmutableMap.of("u/1", 1.0));
    limits.onNotice(upstream, NO_LIMIT, 100);
    assertThat(limits.permits(upstream, 100)).isTrue();
    long lapsedMillis = 100 + RequestLimits.NOTICE_VALID_MILLIS;
    assertThat(limits.permits(upstream, lapsedMillis - 1)).isTrue();
    assertThat(send(lapsedMillis, lapsedMillis + 5_000)).isEqualTo(2);
  }
}
