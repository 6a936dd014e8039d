package io.briarward.node.usage;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.usage.CopyPlacement.Candidate;
import io.briarward.core.usage.IncarnationRow;
import io.briarward.core.usage.UsageSettings;
import io.briarward.core.usage.UsageTables;
import io.briarward.node.duty.FakeTableService;
import io.briarward.node.live.UsageRecorder.Usage;
import io.briarward.node.peer.PeerHandler;
import io.briarward.node.peer.PeerNetwork;
import io.briarward.wire.proto.PeerMessage;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class UsageMeterTest {
  private static final UsageSettings SETTINGS = UsageSettings.defaults();
  private static final Usage USAGE = new Usage("mill", "recipe-llm", "live", 1, 10, 20, 30);

  private final TestScheduler scheduler = new TestScheduler();
  private final FakeTableService tables = new FakeTableService();
  private final Map<String, PeerHandler> handlers = new HashMap<>();
  private final Set<String> unreachable = new HashSet<>();
  private final UsageMeter first = start("vm1", "nadi");
  private final UsageMeter second = start("vm2", "ba");
  private final UsageMeter third = start("vm3", "lautoka");

  @Test
  void recordCompletesOnceTwoPeersHaveCopies() {
    advance(100);

    TestObserver<Void> done = first.record(USAGE).test();
    scheduler.triggerActions();

    done.assertComplete();
  }

  @Test
  void recordSoonAfterAnotherIsCopiedAfterTheMinimumInterval() {
    advance(100);
    first.record(USAGE).test().assertNotComplete();

    TestObserver<Void> second = first.record(USAGE).test();
    scheduler.triggerActions();
    second.assertNotComplete();
    advance(SETTINGS.copyGapMillis());

    second.assertComplete();
  }

  @Test
  void recordCompletesWithOneCopyAfterTheCopyWait() {
    advance(100);
    unreachable.add("vm2");

    TestObserver<Void> done = first.record(USAGE).test();
    scheduler.triggerActions();
    done.assertNotComplete();
    advance(40);

    done.assertComplete();
  }

  @Test
  void recordIsWrittenToTheStoreWhenNoPeerAnswers() {
    advance(100);
    unreachable.add("vm2");
    unreachable.add("vm3");

    TestObserver<Void> done = first.record(USAGE).test();
    advance(100);

    done.assertComplete();
    assertThat(first.unprotectedRecords()).isEqualTo(0);
    assertThat(tables.state().scan(UsageTables.USAGE, "0/vm1", "", 10)).hasSize(1);
  }

  @Test
  void recordCompletesUnprotectedWhenNeitherPeersNorStoreAnswer() {
    advance(100);
    unreachable.add("vm2");
    unreachable.add("vm3");
    tables.setOut(true);

    TestObserver<Void> done = first.record(USAGE).test();
    advance(1_000);

    done.assertComplete();
    assertThat(first.unprotectedRecords()).isEqualTo(1);
  }

  @Test
  void peersWriteTheUsageOfDeadNodes() {
    advance(100);
    first.record(USAGE).test().assertNotComplete();
    advance(100);
    first.close();

    advance(SETTINGS.copyAgeMillis() + 5_000);

    assertThat(tables.state().scan(UsageTables.USAGE, "0/vm1", "", 10)).hasSize(1);
  }

  @Test
  void meterIsReadyOnlyOnceItsIncarnationIsRegistered() {
    tables.setOut(true);
    UsageMeter fourth = start("vm4", "ba");
    advance(100);
    assertThat(fourth.ready()).isFalse();

    tables.setOut(false);
    advance(5_000);

    assertThat(fourth.ready()).isTrue();
  }

  @Test
  void sealCompletesAndMarksTheIncarnationAsEnded() {
    advance(100);
    first.record(USAGE).test().assertNotComplete();

    TestObserver<Void> sealed = first.seal().test();
    advance(1_000);

    sealed.assertComplete();
    IncarnationRow row =
        IncarnationRow.parse(
            tables.state().read(UsageTables.incarnation("vm1.a")).orElseThrow().value());
    assertThat(row.sealedBeforeMillis()).isEqualTo(IncarnationRow.ENDED);
    assertThat(second.ready() && third.ready()).isTrue();
  }

  private UsageMeter start(String vmId, String dataCentre) {
    return UsageMeter.start(
        SETTINGS,
        vmId + ".a",
        new Candidate(vmId, dataCentre),
        () ->
            ImmutableList.of(
                new Candidate("vm1", "nadi"),
                new Candidate("vm2", "ba"),
                new Candidate("vm3", "lautoka")),
        scheduler,
        () -> scheduler.now(TimeUnit.MILLISECONDS),
        tables,
        new FakePeers(vmId));
  }

  private void advance(long millis) {
    scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
  }

  private final class FakePeers implements PeerNetwork {
    private final String self;

    FakePeers(String self) {
      this.self = self;
    }

    @Override
    public void send(String vmId, PeerMessage message) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Single<PeerMessage> request(String vmId, PeerMessage message, long timeoutMillis) {
      if (unreachable.contains(vmId)) {
        return Single.<PeerMessage>never().timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler);
      }
      return handlers.get(vmId).onMessage(message).toSingle();
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
