package io.briarward.node.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.FleetService;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.NodeDemand;
import io.briarward.core.fleet.UpstreamBalancer;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.MemoryStore;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LimitExchangeTest {
  private static final String UPSTREAM = "u/1";

  private static final UpstreamEntry COLD_UPSTREAM =
      new UpstreamEntry(
          "u",
          "orders",
          "nadi",
          "10.0.0.1",
          80,
          1,
          4,
          false,
          false,
          "1",
          ImmutableMap.of(),
          600_000);

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore store = MemoryStore.create(scheduler);

  private final class Node {
    final NodeRegistry nodes;
    final UpstreamBalancer balancer;
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
      LimitShares shares = LimitShares.create(name);
      LimitExchange.start(nodes, shares, scheduler);
      balancer = UpstreamBalancer.create("nadi", shares);
      balancer
          .cold()
          .setServices(
              ImmutableMap.of(
                  "orders",
                  new FleetService(
                      "orders",
                      10,
                      0,
                      ImmutableList.of(),
                      Optional.empty(),
                      Optional.of(new FleetService.Warmup(600_000, 8)),
                      ImmutableList.of())));
      balancer.put(COLD_UPSTREAM);
      balancer.cold().onRow(COLD_UPSTREAM, scheduler.now(TimeUnit.MILLISECONDS));
    }

    /** Returns the number of requests in the given time if it sends whenever it may. */
    int send(long millis) {
      int sent = 0;
      for (long passed = 0; passed < millis; passed += 10) {
        advance(10);
        while (!balancer
            .available(
                "orders", ImmutableSet.of(), entry -> true, scheduler.now(TimeUnit.MILLISECONDS))
            .isEmpty()) {
          balancer.onSent("u");
          sent++;
        }
      }
      return sent;
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

  /** A node whose rows others lack would send beside those that they choose in its place. */
  @Test
  void newNodeSendsToColdUpstreamsOnceAllOthersCountIt() {
    Node a = new Node("a");
    assertThat(a.send(17_000)).isEqualTo(0);
    advance(3_000);
    assertThat(a.send(2_000)).isWithin(1).of(16);
    Node b = new Node("b");
    assertThat(b.send(10_000)).isEqualTo(0);
    assertThat(a.send(2_000)).isWithin(1).of(8);
  }

  @Test
  void nextProcessOnTheVmContinuesToSendToColdUpstreams() {
    Node a = new Node("a");
    advance(25_000);
    a.nodes.close();
    advance(5_000);
    Node next = new Node("a");
    advance(1_000);
    assertThat(next.send(2_000)).isWithin(1).of(8);
    advance(5_000);
    assertThat(next.send(2_000)).isWithin(1).of(16);
  }

  @Test
  void nodeWithoutStoreSendsHalfOfItsShareToColdUpstreamsAndLaterNothing() {
    final Node a = new Node("a");
    advance(25_000);
    store.setDown(true);
    advance(5_000);
    assertThat(a.send(2_000)).isWithin(1).of(8);
    advance(10_000);
    assertThat(a.send(2_000)).isEqualTo(0);
  }
}
