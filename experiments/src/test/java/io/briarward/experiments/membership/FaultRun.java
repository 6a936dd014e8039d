package io.briarward.experiments.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import io.briarward.core.distribution.ChangeResult;
import io.briarward.core.distribution.ConfigurationDocument;
import io.briarward.core.keys.ServingPermission;
import io.briarward.core.keys.ServingRule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Runs a schedule of faults and checks the invariants after each step. */
final class FaultRun {
  private static final int NODES = 9;
  private static final int DATA_CENTRES = 3;
  private static final long STEP_MILLIS = 100;
  private static final long BOUND_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 30_000;

  private record Accepted(long version, long atMillis) {}

  private final VirtualCluster cluster;
  private final List<Accepted> accepted = new ArrayList<>();
  private final Map<Long, Integer> acceptedCounts = new HashMap<>();
  private final Map<VirtualNode, Long> heldVersions = new HashMap<>();
  private final Map<String, Long> servedVersions = new HashMap<>();
  private int changes;

  FaultRun(long seed) {
    cluster = new VirtualCluster(NODES, DATA_CENTRES, seed);
    cluster.network().setLossShare(0.02);
    cluster.network().setDuplicateShare(0.05);
    advance(10_000);
  }

  void run(List<Fault> faults) {
    for (Fault fault : faults) {
      advance(fault.afterMillis());
      apply(fault);
    }
    advance(10_000);
    heal();
    cluster.store().setDown(false);
    cluster.network().setLossShare(0);
    advance(SETTLE_MILLIS);
    checkSettled();
  }

  int acceptedCount() {
    return accepted.size();
  }

  private void apply(Fault fault) {
    VirtualNode node = cluster.node(fault.node());
    switch (fault.kind()) {
      case CHANGE -> change(node);
      case RACE -> {
        change(node);
        change(cluster.node((fault.node() + 1) % NODES));
        change(cluster.node((fault.node() + 2) % NODES));
      }
      case RESTART -> {
        node.kill();
        cluster.time().schedule(fault.lastsMillis(), () -> cluster.start(node.vmId()));
      }
      case PAUSE -> node.pause(fault.lastsMillis());
      case STORE_DOWN -> {
        cluster.store().setDown(true);
        cluster.time().schedule(4L * fault.lastsMillis(), () -> cluster.store().setDown(false));
      }
      case STORE_CUT -> cluster.store().setCutOff(node.vmId(), true);
      case LOST_ANSWERS -> cluster.store().setLostAnswerShare(0.5);
      case ONE_WAY_CUT ->
          cluster
              .network()
              .setCuts((from, to) -> from.equals(node.vmId()) && isOnMaskedSide(to, fault.mask()));
      case PARTITION ->
          cluster
              .network()
              .setCuts(
                  (from, to) ->
                      isOnMaskedSide(from, fault.mask()) != isOnMaskedSide(to, fault.mask()));
      case HEAL -> heal();
      default -> throw new AssertionError(fault.kind());
    }
  }

  private void heal() {
    cluster.network().setCuts((from, to) -> false);
    cluster.store().setLostAnswerShare(0);
    cluster.nodes().forEach(node -> cluster.store().setCutOff(node.vmId(), false));
  }

  private static boolean isOnMaskedSide(String vmId, int mask) {
    int index = Integer.parseInt(vmId.substring("vm-".length()));
    return (mask >> index & 1) == 1;
  }

  private void change(VirtualNode node) {
    long nowMillis = cluster.time().nowMillis();
    boolean usable = node.alive() && !node.paused();
    if (!usable || !ServingRule.mayAcceptChange(node.control(), nowMillis)) {
      return;
    }
    int number = ++changes;
    node.change(
        Documents.withKeys(number % 5 + 1), "token-" + number, result -> onResult(node, result));
  }

  private void onResult(VirtualNode node, ChangeResult result) {
    if (result.kind() == ChangeResult.Kind.ACCEPTED) {
      int count = acceptedCounts.merge(result.version(), 1, Integer::sum);
      assertWithMessage("changes that won version %s", result.version()).that(count).isEqualTo(1);
      awaitMajority(node, result.version());
    }
  }

  private void awaitMajority(VirtualNode node, long version) {
    long nowMillis = cluster.time().nowMillis();
    if (node.alive()
        && !node.paused()
        && ServingRule.isAccepted(node.control(), version, nowMillis)) {
      accepted.add(new Accepted(version, nowMillis));
    } else if (node.alive()) {
      cluster.time().schedule(STEP_MILLIS, () -> awaitMajority(node, version));
    }
  }

  private void advance(long millis) {
    long untilMillis = cluster.time().nowMillis() + millis;
    while (cluster.time().nowMillis() < untilMillis) {
      cluster.advanceMillis(STEP_MILLIS);
      cluster.nodes().forEach(this::check);
    }
  }

  private void check(VirtualNode node) {
    long held = node.control().held().map(ConfigurationDocument::version).orElse(-1L);
    assertWithMessage("version held by %s", node.vmId())
        .that(held)
        .isAtLeast(heldVersions.getOrDefault(node, -1L));
    heldVersions.put(node, held);
    long served = node.servedVersion();
    if (served < 0) {
      return;
    }
    checkNotReverted(node, served);
    for (Accepted change : accepted) {
      if (cluster.time().nowMillis() > change.atMillis() + BOUND_MILLIS) {
        assertWithMessage(
                "version served by %s at %s for %s",
                node.vmId(), cluster.time().nowMillis(), node.permission().reason())
            .that(served)
            .isAtLeast(change.version());
      }
    }
  }

  /** Checks that a VM serves no older version than its earlier processes did. */
  private void checkNotReverted(VirtualNode node, long served) {
    // A restart during a store outage may lose a version that no majority of the nodes holds.
    if (node.permission().reason() == ServingPermission.Reason.FRESH) {
      assertWithMessage("version served by %s", node.vmId())
          .that(served)
          .isAtLeast(servedVersions.getOrDefault(node.vmId(), -1L));
    }
    servedVersions.merge(node.vmId(), served, Long::max);
  }

  private void checkSettled() {
    long newest = cluster.nodes().stream().mapToLong(VirtualNode::servedVersion).max().getAsLong();
    for (VirtualNode node : cluster.nodes()) {
      assertWithMessage("version served by %s", node.vmId())
          .that(node.servedVersion())
          .isEqualTo(newest);
      node.control()
          .members()
          .forEach(
              member ->
                  assertWithMessage("%s as seen by %s", member, node.vmId())
                      .that(member.takesNewWork())
                      .isTrue());
    }
  }
}
