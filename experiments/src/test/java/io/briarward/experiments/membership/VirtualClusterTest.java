package io.briarward.experiments.membership;

import static com.google.common.truth.Truth.assertThat;

import io.briarward.core.distribution.ChangeResult;
import io.briarward.core.keys.ServingPermission;
import io.briarward.core.membership.Member;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class VirtualClusterTest {
  private static final long START_MILLIS = 10_000;
  private static final long IN_FORCE_MILLIS = 7_000;
  private static final long BOUND_MILLIS = 5_000;

  private final VirtualCluster cluster = new VirtualCluster(11, 3, 42);

  @Test
  void acceptedChangeReachesAllNodes() {
    cluster.advanceMillis(START_MILLIS);
    change(0, 1);
    cluster.advanceMillis(IN_FORCE_MILLIS);

    for (VirtualNode node : cluster.nodes()) {
      assertThat(node.servedVersion()).isEqualTo(1);
    }
  }

  @Test
  void allNodesServeDuringStoreOutage() {
    cluster.advanceMillis(START_MILLIS);
    cluster.store().setDown(true);
    cluster.advanceMillis(600_000);

    for (VirtualNode node : cluster.nodes()) {
      assertThat(node.permission().reason()).isEqualTo(ServingPermission.Reason.STORE_OUTAGE);
    }
  }

  @Test
  void restartedNodeServesDuringStoreOutage() {
    cluster.advanceMillis(START_MILLIS);
    change(0, 1);
    cluster.advanceMillis(IN_FORCE_MILLIS);
    cluster.store().setDown(true);
    cluster.advanceMillis(60_000);
    cluster.start("vm-3");
    cluster.advanceMillis(IN_FORCE_MILLIS);

    assertThat(cluster.node(3).servedVersion()).isEqualTo(1);
  }

  @Test
  void isolatedNodeStopsServing() {
    cluster.advanceMillis(START_MILLIS);
    isolate(3);
    cluster.advanceMillis(BOUND_MILLIS);

    assertThat(cluster.node(3).permission().permitted()).isFalse();
  }

  @Test
  void minorityCutOffDuringStoreOutageStopsServing() {
    cluster.advanceMillis(START_MILLIS);
    cluster.store().setDown(true);
    cluster.network().setCuts((from, to) -> isMinority(from) != isMinority(to));
    cluster.advanceMillis(2 * BOUND_MILLIS);

    for (VirtualNode node : cluster.nodes()) {
      assertThat(node.permission().permitted()).isEqualTo(!isMinority(node.vmId()));
    }
  }

  @Test
  void nodeCutOffFromStoreOnlyKeepsServing() {
    cluster.advanceMillis(START_MILLIS);
    cluster.store().setCutOff("vm-3", true);
    cluster.advanceMillis(60_000);

    assertThat(cluster.node(3).permission().reason()).isEqualTo(ServingPermission.Reason.FRESH);
  }

  @Test
  void killedNodeIsDeclaredDeadAndRestartedNodeAlive() {
    cluster.advanceMillis(START_MILLIS);
    cluster.node(3).kill();
    cluster.advanceMillis(15_000);
    assertThat(takesNewWorkByView("vm-3")).doesNotContain(true);

    cluster.start("vm-3");
    cluster.advanceMillis(5_000);
    assertThat(takesNewWorkByView("vm-3")).doesNotContain(false);
  }

  @Test
  void oneWayCutCausesNoSuspects() {
    cluster.advanceMillis(START_MILLIS);
    cluster.network().setCuts((from, to) -> from.equals("vm-1") && to.equals("vm-2"));
    for (int step = 0; step < 600; step++) {
      cluster.advanceMillis(100);
      assertThat(takesNewWorkByView("vm-2")).doesNotContain(false);
    }
  }

  @Test
  void resumedNodeRegardsAllOthersAsAlive() {
    cluster.advanceMillis(START_MILLIS);
    cluster.node(3).pause(60_000);
    cluster.advanceMillis(61_000);

    for (Member member : cluster.node(3).control().members()) {
      assertThat(member.takesNewWork()).isTrue();
    }
  }

  @Test
  void leavingNodeReceivesNoNewWork() {
    cluster.advanceMillis(START_MILLIS);
    VirtualNode leaving = cluster.node(3);
    leaving.perform(leaving.control().leave(cluster.time().nowMillis()));
    cluster.advanceMillis(2_000);

    assertThat(takesNewWorkByView("vm-3")).doesNotContain(true);
  }

  private List<Boolean> takesNewWorkByView(String vmId) {
    List<Boolean> views = new ArrayList<>();
    for (VirtualNode node : cluster.nodes()) {
      node.control().members().stream()
          .filter(member -> member.vmId().equals(vmId) && node.alive())
          .forEach(member -> views.add(member.takesNewWork()));
    }
    return views;
  }

  private void change(int index, int keys) {
    List<ChangeResult.Kind> results = new ArrayList<>();
    cluster
        .node(index)
        .change(Documents.withKeys(keys), "token", result -> results.add(result.kind()));
    cluster.advanceMillis(500);
    assertThat(results).containsExactly(ChangeResult.Kind.ACCEPTED);
  }

  private void isolate(int index) {
    String vmId = "vm-" + index;
    cluster.store().setCutOff(vmId, true);
    cluster.network().setCuts((from, to) -> from.equals(vmId) || to.equals(vmId));
  }

  private static boolean isMinority(String vmId) {
    return vmId.length() == 4 && vmId.charAt(3) < '4';
  }
}
