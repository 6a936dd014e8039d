package io.briarward.core.capacity;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

class CapacityPlannerTest {
  private static final Predicate<Market> ALL_OPEN = market -> true;
  private static final Predicate<Market> ONLY_ON_DEMAND = market -> market == Market.ON_DEMAND;

  private final CapacityPlanner planner = CapacityPlanner.create(1);

  @Test
  void splitsTheNeedBetweenMarketsByTheReclaimableShare() {
    CapacityPlanner.Plan plan = planner.plan(need(80, 80, 0.5), ImmutableList.of(), ALL_OPEN);

    assertThat(plan.startOnDemand()).isEqualTo(4);
    assertThat(plan.startReclaimable()).isEqualTo(4);
  }

  @Test
  void startsOnDemandUpstreamsWhileTheReclaimableMarketIsClosed() {
    CapacityPlanner.Plan plan = planner.plan(need(80, 80, 0.5), ImmutableList.of(), ONLY_ON_DEMAND);

    assertThat(plan.startOnDemand()).isEqualTo(8);
    assertThat(plan.unmet()).isEqualTo(0);
  }

  @Test
  void reportsUnmetNeedIfAllMarketsAreClosed() {
    CapacityPlanner.Plan plan =
        planner.plan(need(80, 80, 0.5), ImmutableList.of(), market -> false);

    assertThat(plan.unmet()).isEqualTo(8);
  }

  @Test
  void replacesReclaimingUpstreamImmediately() {
    ImmutableList<ListedUpstream> reclaimed =
        ImmutableList.of(
            upstream("a", Market.ON_DEMAND, ListedUpstream.State.RUNNING),
            upstream("b", Market.RECLAIMABLE, ListedUpstream.State.RECLAIMING));

    CapacityPlanner.Plan plan = planner.plan(need(20, 20, 0.5), reclaimed, ONLY_ON_DEMAND);

    assertThat(plan.startOnDemand()).isEqualTo(1);
  }

  @Test
  void keepsCapacityForTheRecentPeak() {
    ImmutableList<ListedUpstream> running =
        ImmutableList.of(
            upstream("a", Market.ON_DEMAND, ListedUpstream.State.RUNNING),
            upstream("b", Market.ON_DEMAND, ListedUpstream.State.RUNNING));

    assertThat(planner.plan(need(10, 20, 0), running, ALL_OPEN).stop()).isEmpty();
    assertThat(planner.plan(need(10, 10, 0), running, ALL_OPEN).stop()).hasSize(1);
  }

  @Test
  void stopsOnDemandUpstreamOnlyOnceTheReclaimableOneRuns() {
    ListedUpstream onDemand = upstream("a", Market.ON_DEMAND, ListedUpstream.State.RUNNING);
    ListedUpstream second = upstream("b", Market.ON_DEMAND, ListedUpstream.State.RUNNING);
    ListedUpstream starting = upstream("c", Market.RECLAIMABLE, ListedUpstream.State.STARTING);
    ListedUpstream running = upstream("c", Market.RECLAIMABLE, ListedUpstream.State.RUNNING);

    ServiceNeed need = need(20, 20, 0.5);

    assertThat(planner.plan(need, ImmutableList.of(onDemand, second, starting), ALL_OPEN).stop())
        .isEmpty();
    assertThat(planner.plan(need, ImmutableList.of(onDemand, second, running), ALL_OPEN).stop())
        .hasSize(1);
  }

  @Test
  void ordersAtMostTheMaximum() {
    CapacityPlanner.Plan plan = planner.plan(need(9_000, 9_000, 0.3), ImmutableList.of(), ALL_OPEN);

    assertThat(plan.startOnDemand() + plan.startReclaimable()).isEqualTo(20);
  }

  private static ServiceNeed need(double forecastConcurrent, double heldConcurrent, double share) {
    return new ServiceNeed("recipe-llm", 1, 20, 10, forecastConcurrent, heldConcurrent, share);
  }

  private static ListedUpstream upstream(String id, Market market, ListedUpstream.State state) {
    return new ListedUpstream(id, "o-" + id, "recipe-llm", market, state, "127.0.0.1", 1, 1);
  }
}
