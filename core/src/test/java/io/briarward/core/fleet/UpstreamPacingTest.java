package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class UpstreamPacingTest {
  private static final long FAR_MILLIS = 1_000_000;

  private final UpstreamBalancer balancer =
      UpstreamBalancer.create("nadi", LimitShares.create("n1"), new SplittableRandom(1));

  private static UpstreamEntry entry(String id, long bornMillis) {
    return new UpstreamEntry(
        id, "orders", "nadi", "10.0.0.1", 80, bornMillis, 4, false, false, "1", ImmutableMap.of());
  }

  private static Optional<UpstreamLoad> load(int running) {
    return Optional.of(new UpstreamLoad(running, 0, 4, OptionalInt.of(100)));
  }

  private Optional<String> choose(long nowMillis) {
    return balancer
        .choose("orders", ImmutableSet.of(), entry -> true, nowMillis)
        .map(UpstreamEntry::id);
  }

  private Optional<UpstreamEntry> chooseIgnoringEjection(long nowMillis) {
    return balancer.chooseIgnoringEjection("orders", ImmutableSet.of(), entry -> true, nowMillis);
  }

  private UpstreamEntry addPaced(String id) {
    UpstreamEntry entry = balancer.put(entry(id, 1));
    balancer.onLoad(entry, load(0), 0);
    return entry;
  }

  /** Guards against upstreams without the fourth part whose requests are paced. */
  @Test
  void threePartsKeepEjection() {
    UpstreamEntry entry = balancer.put(entry("a", 1));
    balancer.onLoad(entry, Optional.of(new UpstreamLoad(9, 9, 4, OptionalInt.empty())), 0);
    for (int i = 0; i < 20; i++) {
      assertThat(choose(0)).hasValue("a");
      balancer.onSent("a");
    }
    balancer.onRejected("a", 0, 100);
    assertThat(choose(50)).isEmpty();
    assertThat(chooseIgnoringEjection(50)).isPresent();
    assertThat(balancer.backlog().decide("orders", "r", FAR_MILLIS, 50)).isEmpty();
  }

  @Test
  void upstreamOfPacedServiceThatReportsNothingKeepsEjection() {
    addPaced("a");
    UpstreamEntry plain = balancer.put(entry("b", 1));
    assertThat(balancer.pacing().inForce(plain)).isTrue();
    balancer.onLoad(plain, Optional.empty(), 0);
    assertThat(balancer.pacing().inForce(plain)).isFalse();
  }

  /** Guards against an error response without header that ends pacing. */
  @Test
  void responseWithoutHeaderDoesNotEndPacing() {
    UpstreamEntry entry = addPaced("a");
    balancer.onLoad(entry, Optional.empty(), 0);
    assertThat(balancer.pacing().inForce(entry)).isTrue();
  }

  @Test
  void windowBoundsBothChoices() {
    addPaced("a");
    assertThat(choose(0)).hasValue("a");
    balancer.onSent("a");
    assertThat(choose(0)).isEmpty();
    assertThat(chooseIgnoringEjection(0)).isEmpty();
    balancer.onAnswered("a", 20);
    balancer.onSent("a");
    assertThat(choose(20)).hasValue("a");
  }

  /** Guards against a rejection after which an upstream gets nothing for the ejection time. */
  @Test
  void rejectionDoesNotEject() {
    addPaced("a");
    balancer.onSent("a");
    balancer.onRejected("a", 0, 5_000);
    assertThat(choose(100)).hasValue("a");
  }

  @Test
  void limitAndWindowFormOneGate() {
    UpstreamEntry entry = addPaced("a");
    balancer.onLimit(entry, OptionalDouble.of(1), 0);
    assertThat(choose(0)).isEmpty();
    assertThat(choose(1_000)).hasValue("a");
    balancer.onSent("a");
    assertThat(choose(5_000)).isEmpty();
  }

  /** Guards against a restarted upstream that gets as many requests as before its restart. */
  @Test
  void restartedUpstreamStartsWithTheSmallWindow() {
    addPaced("a");
    addPaced("b");
    for (int i = 0; i < 10; i++) {
      balancer.onSent("a");
      balancer.onAnswered("a", 20);
    }
    UpstreamEntry restarted = balancer.put(entry("a", 2));
    assertThat(balancer.pacing().inForce(restarted)).isTrue();
    assertThat(balancer.pacing().window("a").size()).isEqualTo(1);
    balancer.onLoad(entry("a", 1), load(4), 0);
    assertThat(balancer.pacing().inForce(restarted)).isTrue();
  }

  /** Guards against an upstream whose errors hold back the requests of all other callers. */
  @Test
  void errorResponseIsNoSilence() {
    addPaced("a");
    balancer.onSent("a");
    balancer.onErrorResponse("a", 0);
    assertThat(balancer.inFlight("a")).isEqualTo(0);
    assertThat(choose(0)).hasValue("a");
    assertThat(balancer.pacing().window("a").isSilent()).isFalse();
  }

  /** Guards against nodes with equally old figures that choose the same upstream. */
  @Test
  void staleUpstreamsAreComparedInRandomPairs() {
    for (int i = 0; i < 10; i++) {
      addPaced("u" + i);
    }
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      chosen.add(choose(FAR_MILLIS).orElseThrow());
    }
    assertThat(chosen).hasSize(10);
  }

  @Test
  void requestWaitsIfItCanBeServedInTimeAndIsRejectedOtherwise() {
    addPaced("a");
    balancer.onSent("a");
    PacedBacklog.Decision waits = balancer.backlog().decide("orders", "r1", 1_000, 0).orElseThrow();
    assertThat(waits.waits()).isTrue();
    assertThat(waits.afterMillis()).isAtMost(10);
    PacedBacklog.Decision rejected = balancer.backlog().decide("orders", "r1", 20, 0).orElseThrow();
    assertThat(rejected.waits()).isFalse();
    assertThat(rejected.afterMillis()).isAtLeast(100);
    assertThat(rejected.afterMillis()).isAtMost(10_000);
  }

  /** Guards against requests that wait in a row too long to be served in time. */
  @Test
  void waitingRequestsLeaveNoTimeForFurtherOnes() {
    addPaced("a");
    for (int i = 0; i < 100; i++) {
      balancer.backlog().onWaiting("orders");
    }
    assertThat(balancer.backlog().decide("orders", "r", 500, 0).orElseThrow().waits()).isFalse();
    for (int i = 0; i < 100; i++) {
      balancer.backlog().onWaitEnded("orders");
    }
    assertThat(balancer.backlog().waiting()).isEqualTo(0);
    assertThat(balancer.backlog().decide("orders", "r", 500, 0).orElseThrow().waits()).isTrue();
  }
}
