package io.briarward.core.capacity;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.briarward.core.capacity.OrderSimulation.Fault;
import io.briarward.core.capacity.OrderSimulation.FaultKind;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Tests order machines of several processes in simulations with random faults. */
class OrderProperties {
  private static final long FAULTY_MILLIS = 90_000;
  private static final long FAULT_FREE_MILLIS = 90_000;
  private static final int PROCESSES = 3;

  @Provide
  Arbitrary<List<Fault>> faults() {
    return Combinators.combine(
            Arbitraries.of(FaultKind.class),
            Arbitraries.longs().between(0, FAULTY_MILLIS),
            Arbitraries.longs().between(50, 30_000),
            Arbitraries.integers().between(0, PROCESSES - 1))
        .as(Fault::new)
        .list()
        .ofMaxSize(14);
  }

  @Property(seed = "701", tries = 200)
  void ordersAreRecordedBeforeSendingAndArriveInFencingOrder(
      @ForAll("faults") List<Fault> faults, @ForAll long seed) {
    OrderSimulation simulation = simulate(faults, seed);

    assertWithMessage("orders received with a stale fencing number")
        .that(simulation.staleOrders)
        .isEqualTo(0);
    assertWithMessage("orders sent before they were recorded")
        .that(simulation.unrecordedOrders)
        .isEqualTo(0);
  }

  @Property(seed = "702", tries = 200)
  void upstreamsNeverExceedTheMaximum(@ForAll("faults") List<Fault> faults, @ForAll long seed) {
    OrderSimulation simulation = simulate(faults, seed);

    assertThat(simulation.maxUsable).isAtMost(OrderSimulation.MAX_UPSTREAMS);
  }

  @Property(seed = "703", tries = 200)
  void capacityMatchesTheNeedAfterFaultsEnd(
      @ForAll("faults") List<Fault> faults, @ForAll long seed) {
    OrderSimulation simulation = simulate(faults, seed);

    int needed = (int) Math.ceil(simulation.demand / OrderSimulation.MAX_CONCURRENT);
    assertThat(simulation.usable()).isEqualTo(needed);
    assertThat(simulation.upstreams).hasSize(needed);
  }

  private static OrderSimulation simulate(List<Fault> faults, long seed) {
    OrderSimulation simulation = new OrderSimulation(seed, PROCESSES);
    simulation.run(faults, FAULTY_MILLIS + FAULT_FREE_MILLIS);
    return simulation;
  }
}
