package io.briarward.node.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.configuration.ConfigurationCodec;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.FailureException;
import io.briarward.core.keys.ServingPermission;
import io.briarward.node.peer.PeerNetwork;
import io.briarward.node.platform.VmList;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ControlServiceTest {
  private static final Configuration NEXT =
      ConfigurationCodec.parse("{\"dataCentres\": [\"nadi\"]}");

  private final TestScheduler scheduler = new TestScheduler();
  private final FakeTables tables = new FakeTables();
  private final LoopbackPeers peers = new LoopbackPeers();
  private final TestNode first = new TestNode("vm-1");
  private final TestNode second = new TestNode("vm-2");
  private final TestNode third = new TestNode("vm-3");

  @BeforeEach
  void start() {
    advance(3_000);
  }

  @Test
  void replacedConfigurationReachesAllNodes() {
    replace(first, 0).assertValue(new VersionedConfiguration(1, NEXT));

    for (TestNode node : ImmutableList.of(first, second, third)) {
      assertThat(node.holder.current().version()).isEqualTo(1);
    }
  }

  @Test
  void lostCommitAnswerIsResolvedByReadingStore() {
    tables.loseAnswers(1);

    replace(first, 0).assertValue(new VersionedConfiguration(1, NEXT));
  }

  @Test
  void staleExpectedVersionFailsWithConflict() {
    replace(first, 0).assertComplete();

    replace(second, 0).assertError(error -> kindOf(error) == ErrorKind.VERSION_CONFLICT);
  }

  @Test
  void storeOutageFailsChangeButServingContinues() {
    tables.setUnavailable(true);
    advance(10_000);

    replace(first, 0).assertError(error -> kindOf(error) == ErrorKind.STORE_UNAVAILABLE);
    assertThat(first.control.permission().reason())
        .isEqualTo(ServingPermission.Reason.STORE_OUTAGE);
  }

  @Test
  void nodeWithoutMajorityRejectsChange() {
    second.network.close();
    third.network.close();
    advance(10_000);

    replace(first, 0).assertError(error -> kindOf(error) == ErrorKind.NOT_READY);
  }

  @Test
  void isolatedNodeStopsServingThenCutsOffRunningRequests() {
    final TestSubscriber<ServingPermission> cutOffs = first.control.cutOffs().test();
    tables.setUnavailable(true);
    second.network.close();
    third.network.close();

    advance(6_000);
    assertThat(first.holder.permission().permitted()).isFalse();
    cutOffs.assertNoValues();

    advance(5_000);
    cutOffs.assertValueCount(1);
  }

  @Test
  void newNodeDoesNotServeBeforeItKnowsVersion() {
    tables.setUnavailable(true);
    final TestNode fourth = new TestNode("vm-4");
    second.network.close();
    third.network.close();
    advance(10_000);

    assertThat(fourth.holder.known()).isFalse();
    assertThat(fourth.control.permission().permitted()).isFalse();
  }

  private TestObserver<VersionedConfiguration> replace(TestNode node, long expectedVersion) {
    TestObserver<VersionedConfiguration> observer =
        node.store.replace(NEXT, expectedVersion).test();
    advance(4_000);
    return observer;
  }

  private void advance(long millis) {
    scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
  }

  private static ErrorKind kindOf(Throwable error) {
    return ((FailureException) error).failure().kind();
  }

  private static Single<ImmutableList<VmList.Vm>> listVms() {
    return Single.just(ImmutableList.of(listed("vm-1"), listed("vm-2"), listed("vm-3")));
  }

  private static VmList.Vm listed(String vmId) {
    return new VmList.Vm(vmId, "nadi", "127.0.0.1", 1, 1, false);
  }

  private final class TestNode {
    final ConfigurationHolder holder = ConfigurationHolder.create();
    final PeerNetwork network;
    final ControlService control;
    final ConfigurationStore store;

    TestNode(String vmId) {
      network = peers.network(vmId);
      control =
          ControlService.create(
              new ControlContext(
                  vmId,
                  "nadi",
                  0,
                  scheduler,
                  tables,
                  ControlServiceTest::listVms,
                  network,
                  holder));
      store = ConfigurationStore.create(tables, control, scheduler);
      control.start();
    }
  }
}
