package io.briarward.core.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.briarward.core.usage.UsageWorld.Fault;
import io.briarward.core.usage.UsageWorld.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Histories of VMs that serve and report while anything fails. */
class UsageProperties {
  private static final long FAULTY_MILLIS = 100_000;
  private static final long QUIET_MILLIS = 120_000;
  private static final int VMS = 4;
  private static final Set<Kind> DEATHS = Set.of(Kind.KILL);

  @Provide
  Arbitrary<List<Fault>> faultsWithoutDeaths() {
    return faults(Arbitraries.of(Kind.class).filter(kind -> !DEATHS.contains(kind)), VMS)
        .list()
        .ofMaxSize(10);
  }

  @Provide
  Arbitrary<List<Fault>> faultsWithDeathsOfTwoVms() {
    // With two copies, the deaths of any two VMs must lose nothing.
    Arbitrary<List<Fault>> deaths =
        faults(Arbitraries.of(Kind.KILL), 2).list().ofMinSize(1).ofMaxSize(5);
    return Combinators.combine(deaths, faultsWithoutDeaths()).as(UsageProperties::concat);
  }

  private static Arbitrary<Fault> faults(Arbitrary<Kind> kinds, int vms) {
    return Combinators.combine(
            kinds,
            Arbitraries.longs().between(0, FAULTY_MILLIS),
            Arbitraries.longs().between(50, 30_000),
            Arbitraries.integers().between(0, vms - 1))
        .as(Fault::new);
  }

  private static List<Fault> concat(List<Fault> first, List<Fault> second) {
    List<Fault> all = new ArrayList<>(first);
    all.addAll(second);
    return all;
  }

  @Property(seed = "601", tries = 100)
  void withoutDeathsExactlyWhatRanIsBilled(
      @ForAll("faultsWithoutDeaths") List<Fault> faults, @ForAll long seed) {
    UsageWorld world = runAll(faults, seed);

    assertThat(world.billed()).isEqualTo(world.run);
    assertThat(world.run).isGreaterThan(0);
  }

  @Property(seed = "602", tries = 100)
  void everythingAnsweredIsBilledAndNothingThatDidNotRun(
      @ForAll("faultsWithDeathsOfTwoVms") List<Fault> faults, @ForAll long seed) {
    UsageWorld world = runAll(faults, seed);

    assertThat(world.billed()).isAtLeast(world.answered);
    assertThat(world.billed()).isAtMost(world.run);
  }

  @Property(seed = "603", tries = 100)
  void noWindowIsReportedWithDifferentFiguresOrOutOfTerm(
      @ForAll("faultsWithDeathsOfTwoVms") List<Fault> faults, @ForAll long seed) {
    UsageWorld world = runAll(faults, seed);

    assertWithMessage("different figures").that(world.differentFigures).isEqualTo(0);
    assertWithMessage("reports out of term").that(world.outOfTerm).isEqualTo(0);
  }

  @Property(seed = "604", tries = 30)
  void reportsAreOnTimeWhileOneVmIsDead(@ForAll long seed) {
    UsageWorld world = new UsageWorld(seed, VMS);
    List<Fault> death = List.of(new Fault(Kind.KILL, 30_000, FAULTY_MILLIS + QUIET_MILLIS, 0));

    world.run(death, FAULTY_MILLIS, true);

    long windowMillis = UsageWorld.SETTINGS.windowMillis();
    long lastDueMillis = FAULTY_MILLIS - 2 * windowMillis;
    long windows =
        world.acceptedAtMillis.keySet().stream()
            .map(key -> key.substring(key.indexOf('/')))
            .distinct()
            .count();
    assertThat(windows).isAtLeast(lastDueMillis / windowMillis);
  }

  private static UsageWorld runAll(List<Fault> faults, long seed) {
    UsageWorld world = new UsageWorld(seed, VMS);
    world.run(faults, FAULTY_MILLIS, true);
    world.run(faults, FAULTY_MILLIS + QUIET_MILLIS, false);
    return world;
  }
}
