package io.briarward.core.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.briarward.core.usage.UsageTestCluster.Fault;
import io.briarward.core.usage.UsageTestCluster.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Checks what is billed while VMs, the table service and connections fail. */
class UsageProperties {
  private static final long FAULTY_MILLIS = 100_000;
  private static final long QUIET_MILLIS = 120_000;
  private static final int VMS = 4;
  private static final Set<Kind> KILLS = Set.of(Kind.KILL);

  @Provide
  Arbitrary<List<Fault>> faultsWithoutKills() {
    return faults(Arbitraries.of(Kind.class).filter(kind -> !KILLS.contains(kind)), VMS)
        .list()
        .ofMaxSize(10);
  }

  @Provide
  Arbitrary<List<Fault>> faultsWithKillsOfTwoVms() {
    // With two copies, the loss of any two VMs must lose no usage.
    Arbitrary<List<Fault>> kills =
        faults(Arbitraries.of(Kind.KILL), 2).list().ofMinSize(1).ofMaxSize(5);
    return Combinators.combine(kills, faultsWithoutKills()).as(UsageProperties::concat);
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
  void withoutKilledVmsExactlyTheExecutedRequestsAreBilled(
      @ForAll("faultsWithoutKills") List<Fault> faults, @ForAll long seed) {
    UsageTestCluster cluster = runAll(faults, seed);

    assertThat(cluster.billed()).isEqualTo(cluster.run);
    assertThat(cluster.run).isGreaterThan(0);
  }

  @Property(seed = "602", tries = 100)
  void everyAnsweredRequestIsBilledAndNoneThatWasNotExecuted(
      @ForAll("faultsWithKillsOfTwoVms") List<Fault> faults, @ForAll long seed) {
    UsageTestCluster cluster = runAll(faults, seed);

    assertThat(cluster.billed()).isAtLeast(cluster.answered);
    assertThat(cluster.billed()).isAtMost(cluster.run);
  }

  @Property(seed = "603", tries = 100)
  void noWindowIsReportedWithDifferentFiguresOrUnderAnOutdatedTerm(
      @ForAll("faultsWithKillsOfTwoVms") List<Fault> faults, @ForAll long seed) {
    UsageTestCluster cluster = runAll(faults, seed);

    assertWithMessage("different figures").that(cluster.differentFigures).isEqualTo(0);
    assertWithMessage("reports under an outdated term")
        .that(cluster.outdatedTermReports)
        .isEqualTo(0);
  }

  @Property(seed = "604", tries = 30)
  void reportsAreOnTimeWhileOneVmIsDown(@ForAll long seed) {
    UsageTestCluster cluster = new UsageTestCluster(seed, VMS);
    List<Fault> kill = List.of(new Fault(Kind.KILL, 30_000, FAULTY_MILLIS + QUIET_MILLIS, 0));

    cluster.run(kill, FAULTY_MILLIS, true);

    long windowMillis = UsageTestCluster.SETTINGS.windowMillis();
    long lastDueMillis = FAULTY_MILLIS - 2 * windowMillis;
    long windows =
        cluster.acceptedAtMillis.keySet().stream()
            .map(key -> key.substring(key.indexOf('/')))
            .distinct()
            .count();
    assertThat(windows).isAtLeast(lastDueMillis / windowMillis);
  }

  private static UsageTestCluster runAll(List<Fault> faults, long seed) {
    UsageTestCluster cluster = new UsageTestCluster(seed, VMS);
    cluster.run(faults, FAULTY_MILLIS, true);
    cluster.run(faults, FAULTY_MILLIS + QUIET_MILLIS, false);
    return cluster;
  }
}
