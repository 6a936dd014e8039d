package io.briarward.core.weights;

import static com.google.common.collect.Iterables.getOnlyElement;
import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class SwapPlannerTest {
  private static final ImmutableSet<String> IDS = ImmutableSet.of("a", "b", "c", "d");

  private static SwapPlanner planner(double fetchesPerSecond) {
    SwapPlanner planner = SwapPlanner.create(SwapSettings.of(fetchesPerSecond), 0);
    planner.members(IDS);
    IDS.forEach(id -> report(planner, id, 1, 0));
    planner.target(2);
    return planner;
  }

  private static void report(SwapPlanner planner, String id, long version, long nowMillis) {
    planner.report(new SamplerReport(id, version, OptionalLong.empty(), 0, nowMillis));
  }

  @Test
  void storeFetchesAreRateLimited() {
    SwapPlanner planner = planner(1);

    assertThat(getOnlyElement(planner.poll(0, 7)).source()).isEmpty();
    assertThat(planner.poll(100, 7)).isEmpty();
    assertThat(planner.poll(1_000, 7)).hasSize(1);
  }

  @Test
  void confirmedSamplerTransfersToOthers() {
    SwapPlanner planner = planner(0.1);
    SwapOrder first = getOnlyElement(planner.poll(0, 7));
    report(planner, first.sampler(), 2, 500);

    ImmutableList<SwapOrder> next = planner.poll(500, 7);

    assertThat(next).hasSize(2);
    assertThat(next.get(0).source()).hasValue(first.sampler());
    assertThat(next.get(0).fencingNumber()).isEqualTo(7);
  }

  @Test
  void halfOfTheLiveSamplersKeepsServing() {
    assertThat(planner(1_000).poll(0, 7)).hasSize(1);
    SwapPlanner planner = planner(1_000);
    planner.poll(0, 7);
    planner.poll(10, 7);

    assertThat(planner.poll(20, 7)).isEmpty();
    assertThat(planner.swapping()).hasSize(2);
  }

  @Test
  void orderIsNotCompleteBeforeTheSamplerConfirms() {
    SwapPlanner planner = planner(1_000);
    planner.poll(0, 7);

    assertThat(planner.isComplete(10)).isFalse();
  }

  @Test
  void failedSwapIsRetried() {
    SwapPlanner planner = planner(1);
    String sampler = getOnlyElement(planner.poll(0, 7)).sampler();
    IDS.stream().filter(id -> !id.equals(sampler)).forEach(id -> report(planner, id, 2, 2_000));
    report(planner, sampler, 1, 2_000);
    assertThat(planner.poll(2_000, 7)).isEmpty();

    assertThat(getOnlyElement(planner.poll(3_000, 7)).sampler()).isEqualTo(sampler);
  }

  @Test
  void loadThatEndsWithoutTheVersionIsRetriedWithoutConfirmGrace() {
    SwapPlanner planner = planner(1_000);
    String sampler = getOnlyElement(planner.poll(0, 7)).sampler();
    planner.report(new SamplerReport(sampler, 1, OptionalLong.of(2), 0, 100));
    report(planner, sampler, 1, 200);

    planner.poll(200, 7);
    assertThat(planner.poll(500, 7).stream().map(SwapOrder::sampler)).contains(sampler);
  }

  @Test
  void timedOutLoadIsOrderedAgain() {
    SwapPlanner planner = planner(1_000);
    IDS.forEach(id -> report(planner, id, 2, 10));
    planner.report(new SamplerReport("a", 1, OptionalLong.of(2), 0, 20));
    planner.report(new SamplerReport("a", 1, OptionalLong.of(2), 0, 9_000));
    IDS.stream().skip(1).forEach(id -> report(planner, id, 2, 9_000));

    assertThat(getOnlyElement(planner.poll(9_000, 7)).sampler()).isEqualTo("a");
  }

  @Test
  void samplerWithTheOldestWeightsSwapsFirst() {
    SwapPlanner planner = planner(1);
    report(planner, "c", 0, 1);

    assertThat(getOnlyElement(planner.poll(1, 7)).sampler()).isEqualTo("c");
  }
}
