package io.briarward.core.weights;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

class SwapProperties {
  private static final long STEP_MILLIS = 100;
  private static final double FETCHES_PER_SECOND = 2;
  private static final SwapSettings SETTINGS = SwapSettings.of(FETCHES_PER_SECOND);
  private static final long END_MILLIS = 120_000;

  @Provide
  Arbitrary<List<Integer>> faults() {
    return Arbitraries.integers().between(0, 99).list().ofMinSize(10).ofMaxSize(80);
  }

  /** Early swaps fail, time out or are rejected; later ones succeed. All reports arrive late. */
  @Property(seed = "4202", tries = 200)
  void swapsStayWithinTheLimitsAndComplete(
      @ForAll @IntRange(min = 1, max = 24) int size, @ForAll("faults") List<Integer> faults) {
    Map<String, FakeSampler> samplers = new LinkedHashMap<>();
    for (int i = 0; i < size; i++) {
      samplers.put("s" + i, new FakeSampler("s" + i, 1));
    }
    SwapPlanner planner = SwapPlanner.create(SETTINGS, 0);
    planner.members(ImmutableSet.copyOf(samplers.keySet()));
    planner.target(2);
    int orders = 0;
    int fetches = 0;
    for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
      long nowMillis = now;
      samplers.values().forEach(sampler -> sampler.advance(nowMillis));
      samplers.values().forEach(sampler -> planner.report(sampler.nextReport(nowMillis)));
      for (SwapOrder order : planner.poll(nowMillis, 1)) {
        int fault = orders < faults.size() ? faults.get(orders) : 0;
        orders++;
        fetches += order.source().isEmpty() ? 1 : 0;
        execute(planner, samplers.get(order.sampler()), order, fault, nowMillis);
      }
      assertThat(fetches).isAtMost((int) (1 + nowMillis * FETCHES_PER_SECOND / 1_000));
      long serving = samplers.values().stream().filter(FakeSampler::isServing).count();
      assertThat(serving).isAtLeast(Math.min(size - 1, (size + 1) / 2));
    }
    assertThat(samplers.values().stream().map(FakeSampler::version).distinct()).containsExactly(2L);
  }

  private static void execute(
      SwapPlanner planner, FakeSampler sampler, SwapOrder order, int fault, long nowMillis) {
    if (fault >= 90) {
      planner.refused(order, nowMillis);
    } else if (fault >= 80) {
      sampler.load(order, nowMillis + 10_000, true);
    } else if (fault >= 60) {
      sampler.load(order, nowMillis + 1_000, false);
    } else {
      sampler.load(order, nowMillis + 1_000, true);
    }
  }
}
