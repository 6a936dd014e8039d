package io.briarward.node.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.FailureException;
import io.briarward.wire.proto.MembershipMessage;
import io.briarward.wire.proto.PeerMessage;
import io.briarward.wire.proto.UsageMessage;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class NettyPeerNetworkTest {
  private static final PeerMessage PROBE =
      PeerMessage.newBuilder().setMembership(MembershipMessage.getDefaultInstance()).build();

  private final TestScheduler scheduler = new TestScheduler();
  private final NettyPeerNetwork first = network("vm-1");
  private final NettyPeerNetwork second = network("vm-2");

  @AfterEach
  void close() {
    first.close();
    second.close();
  }

  @Test
  void answerCompletesTheRequestAndContainsItsSender() {
    connect();
    second.setHandler(PeerMessage.BodyCase.MEMBERSHIP, message -> Maybe.just(PROBE));

    PeerMessage answer = first.request("vm-2", PROBE, 1_000).blockingGet();

    assertThat(answer.getSenderVmId()).isEqualTo("vm-2");
    assertThat(answer.getMembership()).isEqualTo(PROBE.getMembership());
  }

  @Test
  void requestWithoutAnswerTimesOut() {
    connect();
    second.setHandler(PeerMessage.BodyCase.MEMBERSHIP, message -> Maybe.empty());

    TestObserver<PeerMessage> observer = first.request("vm-2", PROBE, 500).test();
    scheduler.advanceTimeBy(500, TimeUnit.MILLISECONDS);

    observer.assertError(error -> kindOf(error) == ErrorKind.DEADLINE_EXCEEDED);
  }

  /** A request whose answer is on its way shares the connection with the message that fails. */
  @Test
  void messageThatCannotBeHandledDoesNotLoseTheAnswerToAnother() throws Exception {
    connect();
    SingleSubject<PeerMessage> pending = SingleSubject.create();
    CountDownLatch failed = new CountDownLatch(1);
    second.setHandler(PeerMessage.BodyCase.MEMBERSHIP, message -> pending.toMaybe());
    second.setHandler(
        PeerMessage.BodyCase.USAGE,
        message -> {
          failed.countDown();
          throw new IllegalArgumentException("sequence is -1, expected >= 0");
        });

    final TestObserver<PeerMessage> observer = first.request("vm-2", PROBE, 1_000).test();
    first.send(
        "vm-2", PeerMessage.newBuilder().setUsage(UsageMessage.getDefaultInstance()).build());
    assertThat(failed.await(5, TimeUnit.SECONDS)).isTrue();
    pending.onSuccess(PROBE);

    observer.await(5, TimeUnit.SECONDS);
    assertThat(observer.values()).hasSize(1);
  }

  @Test
  void requestToUnknownVmFailsAtOnce() {
    first
        .request("vm-9", PROBE, 500)
        .test()
        .assertError(error -> kindOf(error) == ErrorKind.NOT_READY);
  }

  @Test
  void requestIsAnsweredAfterThePeerRestartsAtAnotherAddress() {
    connect();
    second.setHandler(PeerMessage.BodyCase.MEMBERSHIP, message -> Maybe.just(PROBE));
    assertThat(first.request("vm-2", PROBE, 1_000).blockingGet().getAnswer()).isTrue();
    second.close();
    try (NettyPeerNetwork restarted = network("vm-2")) {
      restarted.setHandler(PeerMessage.BodyCase.MEMBERSHIP, message -> Maybe.just(PROBE));
      first.setAddresses(ImmutableMap.of("vm-2", addressOf(restarted)));

      assertThat(first.request("vm-2", PROBE, 1_000).blockingGet().getAnswer()).isTrue();
    }
  }

  private void connect() {
    first.setAddresses(ImmutableMap.of("vm-2", addressOf(second)));
  }

  private NettyPeerNetwork network(String vmId) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return NettyPeerNetwork.create(PeerSettings.of(vmId, vmId + "-a", address), scheduler);
  }

  private static InetSocketAddress addressOf(NettyPeerNetwork network) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), network.port());
  }

  private static ErrorKind kindOf(Throwable error) {
    return ((FailureException) error).failure().kind();
  }
}
