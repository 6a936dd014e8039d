package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UpstreamBalancerTest {
  private final UpstreamBalancer balancer =
      UpstreamBalancer.create("nadi", LimitShares.create("n1"));

  private static UpstreamEntry entry(String id, boolean leaving, long bornMillis) {
    return new UpstreamEntry(
        id,
        "orders",
        "nadi",
        "10.0.0.1",
        80,
        bornMillis,
        4,
        leaving,
        false,
        "1",
        ImmutableMap.of());
  }

  @BeforeEach
  void addUpstreams() {
    balancer.put(entry("a", false, 1));
    balancer.put(entry("b", false, 1));
  }

  private Optional<String> choose(long nowMillis) {
    return balancer
        .choose("orders", ImmutableSet.of(), entry -> true, nowMillis)
        .map(UpstreamEntry::id);
  }

  @Test
  void requestsAreSpreadByInFlightCount() {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 8; i++) {
      String id = choose(0).orElseThrow();
      balancer.onSent(id);
      counts.merge(id, 1, Integer::sum);
    }
    assertThat(counts).containsExactly("a", 4, "b", 4);
  }

  @Test
  void drainingUpstreamGetsNoRequests() {
    balancer.put(entry("a", true, 1));
    balancer.put(entry("b", true, 1));
    assertThat(choose(0)).isEmpty();
    assertThat(balancer.chooseIgnoringEjection("orders", ImmutableSet.of(), entry -> true, 0))
        .isEmpty();
  }

  @Test
  void upstreamThatAnnouncedItsLeaveGetsNoRequestsWhateverItsRegistrationSays() {
    assertThat(balancer.onLeaving(entry("a", false, 1))).isTrue();
    assertThat(balancer.onLeaving(entry("a", false, 1))).isFalse();
    for (int i = 0; i < 20; i++) {
      assertThat(choose(i)).hasValue("b");
      balancer.onSent("b");
    }

    balancer.put(entry("a", false, 1));
    balancer.remove("b");
    assertThat(choose(0)).isEmpty();
    assertThat(balancer.chooseIgnoringEjection("orders", ImmutableSet.of(), entry -> true, 0))
        .isEmpty();
  }

  @Test
  void leaveIsRememberedWhileTheRegistrationIsMissing() {
    balancer.remove("b");
    balancer.onLeaving(entry("a", false, 1));
    balancer.remove("a");
    balancer.put(entry("a", false, 1));
    assertThat(choose(0)).isEmpty();
  }

  @Test
  void restartedUpstreamIsNotLeaving() {
    balancer.remove("b");
    balancer.onLeaving(entry("a", false, 1));
    balancer.put(entry("a", false, 2));
    assertThat(choose(0)).hasValue("a");
    balancer.onLeaving(entry("a", false, 1));
    assertThat(choose(0)).hasValue("a");
  }

  @Test
  void failedUpstreamIsEjectedThenReadmitted() {
    balancer.remove("b");
    balancer.onSent("a");
    balancer.onFailed("a", 1_000);
    assertThat(choose(1_000)).isEmpty();
    assertThat(balancer.chooseIgnoringEjection("orders", ImmutableSet.of(), entry -> true, 0))
        .isPresent();
    assertThat(choose(1_500)).hasValue("a");
  }

  @Test
  void consecutiveFailuresEjectLonger() {
    balancer.remove("b");
    balancer.onSent("a");
    balancer.onFailed("a", 0);
    balancer.onSent("a");
    balancer.onFailed("a", 500);
    assertThat(choose(1_400)).isEmpty();
    assertThat(choose(1_500)).hasValue("a");
  }

  @Test
  void answerReadmitsUpstream() {
    balancer.remove("b");
    balancer.onSent("a");
    balancer.onSent("a");
    balancer.onFailed("a", 0);
    balancer.onAnswered("a", 20);
    assertThat(choose(1)).hasValue("a");
  }

  @Test
  void slowUpstreamGetsFewerRequests() {
    balancer.onSent("a");
    balancer.onAnswered("a", 400);
    balancer.onSent("b");
    balancer.onAnswered("b", 20);
    for (int i = 0; i < 8; i++) {
      assertThat(choose(0)).hasValue("b");
      balancer.onSent("b");
    }
  }

  @Test
  void restartedUpstreamHasNoHistory() {
    balancer.remove("b");
    balancer.onSent("a");
    balancer.onFailed("a", 0);
    balancer.put(entry("a", false, 2));
    assertThat(choose(1)).hasValue("a");
    assertThat(balancer.inFlight("a")).isEqualTo(0);
  }

  @Test
  void upstreamThatRejectedGetsOneProbeUntilItAccepts() {
    balancer.remove("b");
    balancer.onSent("a");
    balancer.onRejected("a", 0, 100);
    assertThat(choose(50)).isEmpty();
    assertThat(choose(100)).hasValue("a");
    balancer.onSent("a");
    assertThat(choose(110)).isEmpty();
    balancer.onAccepted("a");
    assertThat(choose(110)).hasValue("a");
  }

  @Test
  void rejectedProbeEjectsAgain() {
    balancer.remove("b");
    balancer.onSent("a");
    balancer.onRejected("a", 0, 100);
    balancer.onSent("a");
    balancer.onRejected("a", 110, 100);
    assertThat(choose(200)).isEmpty();
    assertThat(choose(210)).hasValue("a");
  }

  @Test
  void releasedProbeAllowsAnotherProbe() {
    balancer.remove("b");
    balancer.onSent("a");
    balancer.onRejected("a", 0, 100);
    balancer.onSent("a");
    balancer.onReleased("a");
    assertThat(choose(120)).hasValue("a");
  }

  @Test
  void completedRequestOfUnknownSizeDoesNotAffectDuration() {
    balancer.onSent("a");
    balancer.onAnswered("a", 20);
    balancer.onSent("b");
    balancer.onAnswered("b", 30);
    balancer.onSent("a");
    balancer.onCompleted("a");
    assertThat(balancer.inFlight("a")).isEqualTo(0);
    assertThat(choose(0)).hasValue("a");
  }

  @Test
  void limitedUpstreamIsNotChosenBeyondItsLimitEvenIfAllOthersAreEjected() {
    balancer.onLimit(entry("a", false, 1), OptionalDouble.of(1), 0);
    balancer.onFailed("b", 0);
    assertThat(choose(0)).isEmpty();
    assertThat(
            balancer
                .chooseIgnoringEjection("orders", ImmutableSet.of(), entry -> true, 0)
                .orElseThrow()
                .id())
        .isEqualTo("b");
    assertThat(choose(1_000)).hasValue("a");
  }

  @Test
  void requestIntervalIsThatOfAllUpstreamsTogether() {
    assertThat(balancer.retryAfterMillis("orders", 0)).isEmpty();
    balancer.onLimit(entry("a", false, 1), OptionalDouble.of(1), 0);
    assertThat(balancer.retryAfterMillis("orders", 0)).isEmpty();
    balancer.onLimit(entry("b", false, 1), OptionalDouble.of(3), 0);
    assertThat(balancer.retryAfterMillis("orders", 0)).hasValue(250);
    assertThat(balancer.retryAfterMillis("other", 0)).isEmpty();
  }

  @Test
  void demandIsToldForLimitedUpstreams() {
    balancer.setBatchNeed(upstream -> upstream.id().equals("a") ? 7 : 0);
    balancer.onArrival("orders", 0);
    assertThat(balancer.demand(0)).isEqualTo(NodeDemand.NONE);
    balancer.onLimit(entry("a", false, 1), OptionalDouble.of(2), 0);
    assertThat(balancer.demand(0))
        .isEqualTo(new NodeDemand(ImmutableMap.of("a/1", 7.5), ImmutableMap.of("a/1", 2.0)));
  }
}
