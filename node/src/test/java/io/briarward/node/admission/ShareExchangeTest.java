package io.briarward.node.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.admission.AdmissionControl;
import io.briarward.core.admission.Priority;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.Organisation;
import io.briarward.core.configuration.Partner;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.routing.Router;
import io.briarward.core.routing.RoutingPolicy;
import io.briarward.node.peer.PeerHandler;
import io.briarward.node.peer.PeerNetwork;
import io.briarward.wire.proto.PeerMessage;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ShareExchangeTest {
  private static final ImmutableSet<String> NODES = ImmutableSet.of("vm-1", "vm-2", "vm-3");
  private static final int LIMIT = 20;

  private final TestScheduler scheduler = new TestScheduler();
  private final Map<String, PeerHandler> handlers = new HashMap<>();
  private final Map<String, TestNode> nodes = new HashMap<>();
  private boolean partitioned;

  @BeforeEach
  void startNodes() {
    for (String id : NODES) {
      nodes.put(id, new TestNode(id));
    }
    scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
  }

  @AfterEach
  void stopNodes() {
    nodes.values().forEach(node -> node.exchange.close());
  }

  @Test
  void limitHoldsAcrossAllNodes() {
    for (int second = 0; second < 30; second++) {
      nodes.values().forEach(node -> node.offer(LIMIT));
      scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
      assertThat(running()).isAtMost(LIMIT);
    }
  }

  @Test
  void shareMovesToNodeWithDemand() {
    nodes.get("vm-2").offer(LIMIT);
    scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
    assertThat(nodes.get("vm-2").admitted).isAtLeast(LIMIT - NODES.size());
  }

  @Test
  void lastShareIsKeptWhilePeersAreUnreachable() {
    TestNode node = nodes.get("vm-2");
    node.offer(LIMIT);
    scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
    partitioned = true;
    int admittedBefore = node.admitted;
    node.endAll();
    node.offer(admittedBefore);
    scheduler.advanceTimeBy(5, TimeUnit.SECONDS);
    assertThat(node.admitted).isAtLeast(admittedBefore);
  }

  private int running() {
    return nodes.values().stream().mapToInt(node -> node.admitted).sum();
  }

  private final class TestNode {
    private final AdmissionControl control = AdmissionControl.create();
    private final AdmissionGate gate = AdmissionGate.create(control, scheduler);
    private final ShareExchange exchange;
    private final Map<Integer, AdmissionGate.Admission> running = new HashMap<>();
    private int admitted;

    TestNode(String id) {
      Router router = Router.create("nadi", RoutingPolicy.DEFAULT, new SplittableRandom(1));
      exchange =
          ShareExchange.start(
              new ShareExchange.Context(
                  id, "nadi", 0, control, gate, router, new InMemoryNetwork(id), scheduler));
      exchange.setMembers(NODES, NODES);
      exchange.setConfiguration(configuration());
    }

    void offer(int count) {
      for (int i = 0; i < count; i++) {
        long dueAtMillis = scheduler.now(TimeUnit.MILLISECONDS) + 60_000;
        var unused =
            gate.requestAdmission("order-desk", "mill", Priority.LIVE, 1, dueAtMillis)
                .subscribe(this::onAdmitted, error -> {});
      }
    }

    void endAll() {
      admitted = 0;
      running.values().forEach(each -> each.end(AdmissionControl.Outcome.IN_TIME));
      running.clear();
    }

    private void onAdmitted(AdmissionGate.Admission admission) {
      admitted++;
      running.put(admitted, admission);
    }
  }

  private static Configuration configuration() {
    return new Configuration(
        ImmutableList.of("nadi"),
        ImmutableList.of(new Partner("vatuwaqa", 0.5)),
        ImmutableList.of(new Organisation("mill", "vatuwaqa", 1, 1_000, LIMIT)),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of(),
        ImmutableList.of());
  }

  private final class InMemoryNetwork implements PeerNetwork {
    private final String self;

    InMemoryNetwork(String self) {
      this.self = self;
    }

    @Override
    public void send(String vmId, PeerMessage message) {
      var unused = request(vmId, message, 1).subscribe(answer -> {}, error -> {});
    }

    @Override
    public Single<PeerMessage> request(String vmId, PeerMessage message, long timeoutMillis) {
      if (partitioned) {
        return Single.error(Failure.notRun(ErrorKind.NOT_READY, "unreachable").toException());
      }
      PeerMessage stamped = message.toBuilder().setSenderVmId(self).build();
      return handlers.get(vmId).onMessage(stamped).toSingle();
    }

    @Override
    public void setHandler(PeerMessage.BodyCase body, PeerHandler handler) {
      handlers.put(self, handler);
    }

    @Override
    public void setAddresses(ImmutableMap<String, InetSocketAddress> byVmId) {}

    @Override
    public void close() {}
  }
}
