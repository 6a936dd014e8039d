package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.NodeDemand;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.MemoryStore;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LimitExchangeTest {
  private static final String UPSTREAM = "u/1";

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore store = MemoryStore.create(scheduler);

  private final class Node {
    final NodeRegistry nodes;
    NodeDemand demand = NodeDemand.NONE;

    Node(String name) {
      nodes =
          NodeRegistry.start(
              store,
              store,
              scheduler,
              EventLog.create(scheduler),
              name,
              Incarnations.create(name, "10.0.0.1"),
              () -> demand);
      LimitExchange.start(nodes, LimitShares.create(name), scheduler);
    }

    void need(double perSecond) {
      demand = new NodeDemand(ImmutableMap.of(UPSTREAM, perSecond), ImmutableMap.of());
    }

    double knownNeedOf(String name) {
      return nodes.demands().get(name).neededPerSecond(UPSTREAM);
    }
  }

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += 10) {
      scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void demandIsKnownToOtherNodesAfterTheNextHeartbeat() {
    Node a = new Node("a");
    final Node b = new Node("b");
    a.need(0.4);
    advance(2_000);
    assertThat(b.knownNeedOf("a")).isEqualTo(0.4);
    assertThat(b.knownNeedOf("b")).isEqualTo(0);
  }

  @Test
  void grownDemandIsPublishedBeforeTheNextHeartbeat() {
    Node a = new Node("a");
    final Node b = new Node("b");
    advance(1_100);
    a.need(20);
    advance(800);
    assertThat(b.knownNeedOf("a")).isEqualTo(20);
  }

  @Test
  void demandOfDeadNodeIsForgottenUnlessTheStoreDoesNotRespond() {
    Node a = new Node("a");
    final Node b = new Node("b");
    a.need(20);
    advance(5_000);
    a.nodes.close();
    store.setDown(true);
    advance(6_000);
    assertThat(b.nodes.reliable()).isFalse();
    assertThat(b.knownNeedOf("a")).isEqualTo(20);

    store.setDown(false);
    advance(10_000);
    assertThat(b.nodes.reliable()).isTrue();
    assertThat(b.nodes.demands()).doesNotContainKey("a");
  }
}
