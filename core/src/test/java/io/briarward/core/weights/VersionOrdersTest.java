package io.briarward.core.weights;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class VersionOrdersTest {
  private static final ImmutableMap<String, Long> ANNOUNCED = ImmutableMap.of("m", 3L);

  private static final ImmutableMap<String, FreshnessDemand> NEWEST = ImmutableMap.of();

  private final VersionOrders orders = VersionOrders.create();

  private static UpstreamEntry sampler(String id, long version, boolean leaving) {
    return new UpstreamEntry(
        id,
        "llm",
        "nadi",
        "10.0.0.1",
        80,
        1,
        8,
        leaving,
        false,
        "1",
        ImmutableMap.of("m", version));
  }

  private static List<UpstreamEntry> samplers(int count, long version) {
    List<UpstreamEntry> samplers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      samplers.add(sampler("s" + i, version, false));
    }
    return samplers;
  }

  private ImmutableList<String> next(List<UpstreamEntry> samplers, long nowMillis) {
    return orders.next(samplers, ANNOUNCED, NEWEST, nowMillis).stream()
        .map(order -> order.sampler().id())
        .collect(ImmutableList.toImmutableList());
  }

  @Test
  void smallServicesLoadTwoAtOnce() {
    assertThat(next(samplers(6, 2), 0)).hasSize(2);
    assertThat(next(samplers(6, 2), 10)).isEmpty();
  }

  @Test
  void largeServicesLoadMoreAtOnce() {
    assertThat(next(samplers(32, 2), 0)).hasSize(9);
  }

  @Test
  void finishedLoadAllowsAnother() {
    List<UpstreamEntry> samplers = samplers(3, 2);
    assertThat(next(samplers, 0)).containsExactly("s0", "s1");
    samplers.set(0, sampler("s0", 3, false));
    assertThat(next(samplers, 10)).containsExactly("s2");
  }

  @Test
  void samplersWithTheOldestWeightsLoadFirst() {
    List<UpstreamEntry> samplers = samplers(3, 2);
    samplers.set(2, sampler("s2", 1, false));
    assertThat(next(samplers, 0)).containsExactly("s2", "s0").inOrder();
  }

  @Test
  void leavingAndCurrentSamplersReceiveNoOrder() {
    assertThat(next(ImmutableList.of(sampler("a", 3, false), sampler("b", 2, true)), 0)).isEmpty();
  }

  @Test
  void rejectedOrderIsRetriedAfterTheDelay() {
    ImmutableList<UpstreamEntry> one = ImmutableList.of(sampler("a", 2, false));
    VersionOrders.Order order = orders.next(one, ANNOUNCED, NEWEST, 0).get(0);
    orders.onRejected(order, 10, 400);
    assertThat(next(one, 409)).isEmpty();
    assertThat(next(one, 410)).containsExactly("a");
  }

  @Test
  void restartedSamplerIsOrderedAgain() {
    assertThat(next(ImmutableList.of(sampler("a", 2, false)), 0)).containsExactly("a");
    UpstreamEntry restarted =
        new UpstreamEntry(
            "a", "llm", "nadi", "10.0.0.1", 80, 2, 8, false, false, "1", ImmutableMap.of("m", 2L));
    assertThat(next(ImmutableList.of(restarted), 1)).containsExactly("a");
  }

  private static UpstreamEntry samplerOfTwoModels(String id, long first, long second) {
    return new UpstreamEntry(
        id,
        "llm",
        "nadi",
        "10.0.0.1",
        80,
        1,
        8,
        false,
        false,
        "1",
        ImmutableMap.of("m", first, "n", second));
  }

  @Test
  void samplersAndLoadsAreSharedAmongModels() {
    List<UpstreamEntry> samplers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      samplers.add(samplerOfTwoModels("s" + i, 1, 1));
    }
    ImmutableMap<String, Long> both = ImmutableMap.of("m", 2L, "n", 2L);
    List<VersionOrders.Order> all = new ArrayList<>();
    for (int round = 0; round < 20; round++) {
      ImmutableList<VersionOrders.Order> sent = orders.next(samplers, both, NEWEST, round);
      assertThat(sent.size()).isAtMost(2);
      all.addAll(sent);
      for (VersionOrders.Order order : sent) {
        boolean first = order.model().equals("m");
        samplers.replaceAll(
            each ->
                each.id().equals(order.sampler().id())
                    ? samplerOfTwoModels(each.id(), first ? 2 : 1, first ? 1 : 2)
                    : each);
      }
    }
    assertThat(all).hasSize(8);
    assertThat(all.stream().filter(order -> order.model().equals("m")).count()).isEqualTo(4);
    assertThat(all.get(0).model()).isNotEqualTo(all.get(1).model());
  }

  @Test
  void modelWithFewAnnouncementsIsNotStarved() {
    List<UpstreamEntry> samplers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      samplers.add(samplerOfTwoModels("s" + i, 1, 1));
    }
    orders.next(samplers, ImmutableMap.of("m", 2L), NEWEST, 0);
    ImmutableList<VersionOrders.Order> later =
        orders.next(samplers, ImmutableMap.of("m", 9L, "n", 2L), NEWEST, 10_000);
    assertThat(later).hasSize(2);
    ImmutableList<VersionOrders.Order> last =
        orders.next(
            samplers.stream().map(each -> samplerOfTwoModels(each.id(), 9, 1)).toList(),
            ImmutableMap.of("m", 9L, "n", 2L),
            NEWEST,
            20_000);
    assertThat(last.stream().map(VersionOrders.Order::model).distinct().toList())
        .containsExactly("n");
  }

  @Test
  void newPlannerKeepsLoadedModels() {
    List<UpstreamEntry> samplers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      samplers.add(i < 4 ? samplerOfTwoModels("s" + i, 5, 1) : samplerOfTwoModels("s" + i, 1, 5));
    }
    assertThat(orders.next(samplers, ImmutableMap.of("m", 5L, "n", 5L), NEWEST, 0)).isEmpty();
  }

  /** Executes all orders that follow an announcement and returns their number. */
  private int executeOrders(List<UpstreamEntry> samplers, long version, FreshnessDemand demand) {
    int count = 0;
    while (true) {
      ImmutableList<VersionOrders.Order> sent =
          orders.next(
              samplers, ImmutableMap.of("m", version), ImmutableMap.of("m", demand), version);
      if (sent.isEmpty()) {
        return count;
      }
      count += sent.size();
      sent.forEach(
          order ->
              samplers.replaceAll(
                  each ->
                      each.id().equals(order.sampler().id())
                          ? sampler(each.id(), version, false)
                          : each));
    }
  }

  @Test
  void samplersLoadInTurnIfOlderWeightsAreAccepted() {
    List<UpstreamEntry> samplers = samplers(6, 1);
    FreshnessDemand oneBehind = new FreshnessDemand(0, 1);
    for (long version = 2; version < 10; version++) {
      assertThat(executeOrders(samplers, version, oneBehind)).isEqualTo(3);
      long oldest = version - 1;
      assertThat(samplers.stream().allMatch(each -> each.version("m") >= oldest)).isTrue();
    }
  }

  @Test
  void requiredVersionMakesAllSamplersLoad() {
    List<UpstreamEntry> samplers = samplers(6, 1);
    assertThat(executeOrders(samplers, 2, new FreshnessDemand(2, 1))).isEqualTo(6);
  }
}
