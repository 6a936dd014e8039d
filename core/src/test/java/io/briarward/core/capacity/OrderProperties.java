package io.briarward.core.capacity;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.briarward.core.capacity.OrderWorld.Fault;
import io.briarward.core.capacity.OrderWorld.Kind;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Histories of processes that order upstreams while anything fails. */
class OrderProperties {
  private static final long FAULTY_MILLIS = 90_000;
  private static final long QUIET_MILLIS = 90_000;
  private static final int PROCESSES = 3;

  @Provide
  Arbitrary<List<Fault>> faults() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.longs().between(0, FAULTY_MILLIS),
            Arbitraries.longs().between(50, 30_000),
            Arbitraries.integers().between(0, PROCESSES - 1))
        .as(Fault::new)
        .list()
        .ofMaxSize(14);
  }

  @Property(seed = "701", tries = 200)
  void noOrderArrivesOutOfTermOrUnrecorded(
      @ForAll("faults") List<Fault> faults, @ForAll long seed) {
    OrderWorld world = runAll(faults, seed);

    assertWithMessage("orders out of term").that(world.outOfTerm).isEqualTo(0);
    assertWithMessage("orders sent unrecorded").that(world.unrecorded).isEqualTo(0);
  }

  @Property(seed = "702", tries = 200)
  void neverMoreUpstreamsThanAllowedServe(@ForAll("faults") List<Fault> faults, @ForAll long seed) {
    OrderWorld world = runAll(faults, seed);

    assertThat(world.largest).isAtMost(OrderWorld.MAX_UPSTREAMS);
  }

  @Property(seed = "703", tries = 200)
  void exactlyWhatIsNeededServesOnceTheFaultsAreOver(
      @ForAll("faults") List<Fault> faults, @ForAll long seed) {
    OrderWorld world = runAll(faults, seed);

    int needed = (int) Math.ceil(world.demand / OrderWorld.MAX_CONCURRENT);
    assertThat(world.usable()).isEqualTo(needed);
    assertThat(world.upstreams).hasSize(needed);
  }

  private static OrderWorld runAll(List<Fault> faults, long seed) {
    OrderWorld world = new OrderWorld(seed, PROCESSES);
    world.run(faults, FAULTY_MILLIS + QUIET_MILLIS);
    return world;
  }
}
