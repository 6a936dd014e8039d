package io.briarward.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LimitSharesTest {
  private static final double TOLERANCE = 1e-9;

  private final UpstreamEntry upstream =
      new UpstreamEntry(
          "u", "orders", "nadi", "10.0.0.1", 80, 7, 4, false, false, "1", ImmutableMap.of());

  private static NodeDemand demand(double neededPerSecond) {
    return new NodeDemand(ImmutableMap.of("u/7", neededPerSecond), ImmutableMap.of());
  }

  private static ImmutableMap<String, NodeDemand> idle(int count) {
    Map<String, NodeDemand> demands = new HashMap<>();
    IntStream.range(0, count).forEach(i -> demands.put("n" + i, NodeDemand.NONE));
    return ImmutableMap.copyOf(demands);
  }

  private double share(
      String self, ImmutableMap<String, NodeDemand> demands, boolean current, double limit) {
    LimitShares shares = LimitShares.create(self);
    shares.update(demands, current);
    return shares.share(upstream, limit);
  }

  @Test
  void nodeThatKnowsOfNoOtherTakesTheWholeLimit() {
    assertThat(LimitShares.create("a").share(upstream, 3)).isWithin(TOLERANCE).of(1);
  }

  @Test
  void sharesAreProportionalToNeedPlusTenth() {
    ImmutableMap<String, NodeDemand> demands =
        ImmutableMap.of("a", demand(0.8), "b", demand(0), "c", NodeDemand.NONE);
    assertThat(share("a", demands, true, 10)).isWithin(TOLERANCE).of(0.9 / 1.1);
    assertThat(share("b", demands, true, 10)).isWithin(TOLERANCE).of(0.1 / 1.1);
    assertThat(share("c", demands, true, 10)).isWithin(TOLERANCE).of(0.1 / 1.1);
  }

  @Test
  void sharesOfAllNodesAddUpToOne() {
    ImmutableMap<String, NodeDemand> demands = idle(1_000);
    double total = 0;
    int senders = 0;
    for (String node : demands.keySet()) {
      double share = share(node, demands, true, 6.5);
      total += share;
      senders += share > 0 ? 1 : 0;
    }
    assertThat(total).isWithin(TOLERANCE).of(1);
    assertThat(senders).isEqualTo(8);
  }

  @Test
  void nodeWithMoreDemandIsChosenToSendMoreOften() {
    int chosen = 0;
    for (int i = 0; i < 200; i++) {
      String id = "u" + i;
      UpstreamEntry each =
          new UpstreamEntry(
              id, "orders", "nadi", "10.0.0.1", 80, 7, 4, false, false, "1", ImmutableMap.of());
      Map<String, NodeDemand> demands = new HashMap<>(idle(50));
      demands.put("n3", new NodeDemand(ImmutableMap.of(id + "/7", 20.0), ImmutableMap.of()));
      LimitShares shares = LimitShares.create("n3");
      shares.update(ImmutableMap.copyOf(demands), true);
      chosen += shares.share(each, 0) > 0 ? 1 : 0;
    }
    assertThat(chosen).isAtLeast(180);
  }

  @Test
  void nodeThatCannotReadDemandsTakesHalfAnEvenShareAtMost() {
    ImmutableMap<String, NodeDemand> demands =
        ImmutableMap.of("a", demand(98), "b", demand(0), "c", demand(0), "d", demand(0));
    assertThat(share("a", demands, false, 10)).isWithin(TOLERANCE).of(0.5 / 4);
    assertThat(share("b", demands, false, 10)).isWithin(TOLERANCE).of(0.1 / 98.4);
  }

  @Test
  void nodeWhoseOwnRowIsMissingCountsItself() {
    ImmutableMap<String, NodeDemand> demands = ImmutableMap.of("b", demand(0));
    assertThat(share("a", demands, true, 10)).isWithin(TOLERANCE).of(0.5);
  }

  @Test
  void lowestPublishedLimitOfOtherNodesIsReturned() {
    LimitShares shares = LimitShares.create("a");
    shares.update(
        ImmutableMap.of(
            "a", new NodeDemand(ImmutableMap.of(), ImmutableMap.of("u/7", 1.0)),
            "b", new NodeDemand(ImmutableMap.of(), ImmutableMap.of("u/7", 4.0)),
            "c", new NodeDemand(ImmutableMap.of(), ImmutableMap.of("u/7", 2.5, "u/8", 9.0))),
        true);
    assertThat(shares.publishedLimit(upstream)).hasValue(2.5);
    shares.update(ImmutableMap.of(), true);
    assertThat(shares.publishedLimit(upstream)).isEmpty();
  }
}
