package io.briarward.experiments.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.briarward.core.distribution.ChangeResult;
import io.briarward.core.membership.Member;
import io.briarward.core.membership.MemberState;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class ClusterProperties {
  private static final long IN_FORCE_MILLIS = 7_000;

  @Property(tries = 150, seed = "4711", edgeCases = EdgeCasesMode.NONE)
  void faultsNeverRevertAcceptedChangeNorAcceptConcurrentChanges(
      @ForAll("faults") List<Fault> faults, @ForAll @LongRange(min = 0) long seed) {
    FaultRun run = new FaultRun(seed);
    run.run(faults);
  }

  @Property(tries = 20, seed = "4712", edgeCases = EdgeCasesMode.NONE)
  void acceptedChangeIsInForceOnAllNodesInTimeEvenIfItsNodeIsKilled(
      @ForAll @IntRange(min = 3, max = 60) int size, @ForAll @LongRange(min = 0) long seed) {
    VirtualCluster cluster = new VirtualCluster(size, 3, seed);
    cluster.network().setLossShare(0.05);
    cluster.advanceMillis(20_000);
    List<ChangeResult.Kind> results = new ArrayList<>();
    cluster
        .node(0)
        .change(
            Documents.withKeys(1),
            "token",
            result -> {
              results.add(result.kind());
              cluster.node(0).kill();
            });
    cluster.advanceMillis(IN_FORCE_MILLIS);

    assertThat(results).containsExactly(ChangeResult.Kind.ACCEPTED);
    for (VirtualNode node : cluster.nodes()) {
      assertThat(node.servedVersion()).isEqualTo(node.vmId().equals("vm-0") ? -1 : 1);
    }
  }

  @Property(tries = 10, seed = "4713", edgeCases = EdgeCasesMode.NONE)
  void partitionedRegionKeepsServingWithStableMembership(
      @ForAll @IntRange(min = 30, max = 90) int size, @ForAll @LongRange(min = 0) long seed) {
    VirtualCluster cluster = new VirtualCluster(size, 9, seed);
    cluster.advanceMillis(20_000);
    cluster
        .network()
        .setCuts((from, to) -> isInFirstRegion(cluster, from) != isInFirstRegion(cluster, to));
    cluster.advanceMillis(180_000);
    for (VirtualNode node : cluster.nodes()) {
      assertWithMessage("permission of %s: %s", node.vm(), node.permission())
          .that(node.permission().permitted())
          .isTrue();
      assertThat(node.control().members()).hasSize(size - 1);
      node.control().members().stream()
          .filter(member -> sameSide(cluster, node.vmId(), member.vmId()))
          .forEach(member -> assertTakesNewWork(node, member));
      node.control().members().stream()
          .filter(member -> !sameSide(cluster, node.vmId(), member.vmId()))
          .forEach(member -> assertThat(member.state()).isEqualTo(MemberState.SUSPECT));
    }
    cluster.network().setCuts((from, to) -> false);
    cluster.advanceMillis(60_000);
    for (VirtualNode node : cluster.nodes()) {
      node.control().members().forEach(member -> assertThat(member.takesNewWork()).isTrue());
    }
  }

  @Provide
  Arbitrary<List<Fault>> faults() {
    return Combinators.combine(
            Arbitraries.of(Fault.Kind.class),
            Arbitraries.integers().between(0, 4_000),
            Arbitraries.integers().between(0, 8),
            Arbitraries.integers().between(1, 510),
            Arbitraries.integers().between(200, 15_000))
        .as(Fault::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(40);
  }

  private static void assertTakesNewWork(VirtualNode node, Member member) {
    assertWithMessage("%s as seen by %s", member, node.vm()).that(member.takesNewWork()).isTrue();
  }

  private static boolean sameSide(VirtualCluster cluster, String first, String second) {
    return isInFirstRegion(cluster, first) == isInFirstRegion(cluster, second);
  }

  private static boolean isInFirstRegion(VirtualCluster cluster, String vmId) {
    int index = Integer.parseInt(vmId.substring("vm-".length()));
    return cluster.node(index).vm().dataCentre().equals("dc-0");
  }
}
