package io.briarward.core.lease;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.lease.LeaseSimulation.Fault;
import io.briarward.core.lease.LeaseSimulation.FaultKind;
import io.briarward.core.lease.LeaseSimulation.Received;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of processes that compete for a lease under random faults. */
class LeaseProperties {
  private static final long FAULTY_MILLIS = 120_000;
  private static final long QUIET_MILLIS = 60_000;
  private static final int PROCESSES = 3;

  @Provide
  Arbitrary<List<Fault>> faults() {
    return faultsOf(
        Arbitraries.of(FaultKind.class).filter(kind -> kind != FaultKind.FREEZE_BEFORE_SEND));
  }

  @Provide
  Arbitrary<List<Fault>> faultsWithFreezesBeforeSending() {
    return faultsOf(Arbitraries.of(FaultKind.class));
  }

  private static Arbitrary<List<Fault>> faultsOf(Arbitrary<FaultKind> kinds) {
    return Combinators.combine(
            kinds,
            Arbitraries.longs().between(0, FAULTY_MILLIS),
            Arbitraries.longs().between(50, 40_000),
            Arbitraries.integers().between(0, PROCESSES - 1))
        .as(Fault::new)
        .list()
        .ofMaxSize(14);
  }

  @Property(seed = "501", tries = 400)
  void staleOrderNeverArrivesAfterOrderOfSuccessor(
      @ForAll("faults") List<Fault> faults, @ForAll long seed) {
    LeaseSimulation simulation = new LeaseSimulation(seed, PROCESSES, false);

    simulation.run(faults, FAULTY_MILLIS + QUIET_MILLIS);

    assertThat(countStaleOrders(simulation.received)).isEqualTo(0);
  }

  @Property(seed = "502", tries = 400)
  void receiverThatChecksFencingAcceptsNoStaleOrderDespiteFreezes(
      @ForAll("faultsWithFreezesBeforeSending") List<Fault> faults, @ForAll long seed) {
    LeaseSimulation simulation = new LeaseSimulation(seed, PROCESSES, true);

    simulation.run(faults, FAULTY_MILLIS + QUIET_MILLIS);

    assertThat(countStaleOrders(simulation.received)).isEqualTo(0);
  }

  @Property(seed = "503", tries = 400)
  void receiverWithoutFencingGetsAtMostOneStaleOrderPerFreezeBeforeSending(
      @ForAll("faultsWithFreezesBeforeSending") List<Fault> faults, @ForAll long seed) {
    LeaseSimulation simulation = new LeaseSimulation(seed, PROCESSES, false);

    simulation.run(faults, FAULTY_MILLIS + QUIET_MILLIS);

    long freezes =
        faults.stream().filter(fault -> fault.kind() == FaultKind.FREEZE_BEFORE_SEND).count();
    assertThat(countStaleOrders(simulation.received)).isAtMost((int) freezes);
  }

  @Property(seed = "504", tries = 200)
  void someProcessSendsOrdersAgainAfterFaultsEnd(
      @ForAll("faults") List<Fault> faults, @ForAll long seed) {
    LeaseSimulation simulation = new LeaseSimulation(seed, PROCESSES, false);

    simulation.run(faults, FAULTY_MILLIS + QUIET_MILLIS);

    long lastMillis =
        simulation.received.stream().mapToLong(Received::atMillis).max().orElse(Long.MIN_VALUE);
    assertThat(lastMillis).isGreaterThan(FAULTY_MILLIS + QUIET_MILLIS / 2);
  }

  @Property(seed = "505", tries = 100)
  void storeOutageDoesNotCauseUnboundedRetries(@ForAll long seed) {
    LeaseSimulation simulation = new LeaseSimulation(seed, PROCESSES, false);
    List<Fault> outage = List.of(new Fault(FaultKind.STORE_OUT, 0, FAULTY_MILLIS, 0));

    simulation.run(outage, FAULTY_MILLIS);

    LeaseSettings settings = LeaseSimulation.SETTINGS;
    long shortestMillis = settings.requestTimeoutMillis() + settings.backoff().maxMillis();
    int doublings = 6;
    long bound = PROCESSES * (doublings + FAULTY_MILLIS / shortestMillis);
    assertThat(simulation.table.operations()).isAtMost(bound);
  }

  private static int countStaleOrders(List<Received> orders) {
    long highest = 0;
    int count = 0;
    for (Received order : orders) {
      if (order.fencingNumber() < highest) {
        count++;
      }
      highest = Math.max(highest, order.fencingNumber());
    }
    return count;
  }
}
