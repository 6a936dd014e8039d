package io.briarward.node.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableMap;
import io.briarward.core.fleet.NodeDemand;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.quarantine.Quarantine;
import io.briarward.core.quarantine.RequestFingerprint;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.MemoryStore;
import io.briarward.node.testing.MemoryStore.WriteOutcome;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class CrashRegistryTest {
  private static final RequestFingerprint REQUEST = fingerprint("/l/7");
  private static final long SHARED_MILLIS = 500;

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore store = MemoryStore.create(scheduler);

  private final class Node implements AutoCloseable {
    final NodeRegistry nodes;
    final CrashRegistry crashes;

    Node(String name) {
      EventLog log = EventLog.create(scheduler);
      String incarnation = Incarnations.create(name, "10.0.0.1");
      nodes =
          NodeRegistry.start(
              store, store, scheduler, log, name, incarnation, () -> NodeDemand.NONE);
      crashes = CrashRegistry.start(store, store, nodes, scheduler, log, incarnation);
      advance(SHARED_MILLIS);
    }

    boolean quarantines(RequestFingerprint request) {
      return !crashes.permits(() -> request);
    }

    @Override
    public void close() {
      crashes.close();
      nodes.close();
    }
  }

  private static RequestFingerprint fingerprint(String uri) {
    return RequestFingerprint.of(Optional.of("mill"), "POST", "mill.example", uri, new byte[0]);
  }

  private static UpstreamEntry upstream(String id) {
    return new UpstreamEntry(
        id, "orders", "nadi", "10.0.0.1", 80, 1, 4, false, false, "1", ImmutableMap.of());
  }

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += 10) {
      scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void crashesOnSeveralNodesQuarantineTheRequestOnAllNodes() {
    final Node a = new Node("a");
    final Node b = new Node("b");
    final Node c = new Node("c");
    a.crashes.onCrash(REQUEST, upstream("u1"));
    a.crashes.onCrash(REQUEST, upstream("u2"));
    b.crashes.onCrash(REQUEST, upstream("u3"));
    advance(SHARED_MILLIS);
    for (Node node : new Node[] {a, b, c}) {
      assertThat(node.quarantines(REQUEST)).isTrue();
      assertThat(node.quarantines(fingerprint("/l/8"))).isFalse();
    }
  }

  @Test
  void quarantineOutlivesAllProcesses() {
    try (Node a = new Node("a")) {
      for (int i = 0; i < Quarantine.MAX_CRASHES; i++) {
        a.crashes.onCrash(REQUEST, upstream("u" + i));
      }
      advance(SHARED_MILLIS);
    }
    assertThat(new Node("a").quarantines(REQUEST)).isTrue();
  }

  @Test
  void completeResponseClearsTheRequestOnAllNodes() {
    final Node a = new Node("a");
    final Node b = new Node("b");
    a.crashes.onCrash(REQUEST, upstream("u1"));
    a.crashes.onCrash(REQUEST, upstream("u2"));
    advance(SHARED_MILLIS);
    b.crashes.onCompleted(() -> REQUEST);
    advance(SHARED_MILLIS);
    a.crashes.onCrash(REQUEST, upstream("u3"));
    advance(SHARED_MILLIS);
    assertThat(a.quarantines(REQUEST)).isFalse();
    assertThat(b.quarantines(REQUEST)).isFalse();
    assertThat(store.rows(CrashRegistry.TABLE)).hasSize(1);
  }

  @Test
  void crashesAreSharedOnceTheStoreAcceptsWrites() {
    final Node a = new Node("a");
    final Node b = new Node("b");
    store.setDown(true);
    for (int i = 0; i < Quarantine.MAX_CRASHES; i++) {
      a.crashes.onCrash(REQUEST, upstream("u" + i));
    }
    advance(2_000);
    assertThat(a.quarantines(REQUEST)).isTrue();
    assertThat(b.quarantines(REQUEST)).isFalse();
    store.setDown(false);
    advance(3_000);
    assertThat(b.quarantines(REQUEST)).isTrue();
  }

  @Test
  void lossOfHistoryForgetsNoCrash() {
    final Node a = new Node("a");
    for (int i = 0; i < Quarantine.MAX_CRASHES; i++) {
      a.crashes.onCrash(REQUEST, upstream("u" + i));
    }
    advance(SHARED_MILLIS);
    store.forgetHistory();
    advance(5_000);
    assertThat(a.quarantines(REQUEST)).isTrue();
  }

  @Test
  void rowsAreWrittenTogetherAndNoMoreOftenThanTheNumberOfNodesAllows() {
    new Node("b");
    final Node a = new Node("a");
    advance(2_000);
    AtomicInteger writes = new AtomicInteger();
    store.setWriteOutcomes(
        transaction -> {
          boolean crashRows =
              transaction.writes().stream()
                  .anyMatch(write -> write.row().table().equals(CrashRegistry.TABLE));
          writes.addAndGet(crashRows ? 1 : 0);
          return WriteOutcome.APPLIED;
        });
    for (int i = 0; i < 200; i++) {
      a.crashes.onCrash(fingerprint("/l/" + i), upstream("u" + i));
    }
    advance(1_000);
    assertThat(store.rows(CrashRegistry.TABLE)).hasSize(200);
    assertThat(writes.get()).isAtMost(6);
  }

  @Test
  void expiredCrashesAreRemoved() {
    final Node a = new Node("a");
    new Node("b");
    for (int i = 0; i < Quarantine.MAX_CRASHES; i++) {
      a.crashes.onCrash(REQUEST, upstream("u" + i));
    }
    advance(Quarantine.RETENTION_MILLIS - 1_000);
    assertThat(store.rows(CrashRegistry.TABLE)).hasSize(Quarantine.MAX_CRASHES);
    advance(20_000);
    assertThat(a.quarantines(REQUEST)).isFalse();
    assertThat(store.rows(CrashRegistry.TABLE)).isEmpty();
  }

  @Test
  void rowOfAnotherFormatIsIgnored() {
    store.put(
        CrashRegistry.TABLE, "x", JsonNodeFactory.instance.objectNode().put("request", "short"));
    final Node a = new Node("a");
    assertThat(a.quarantines(REQUEST)).isFalse();
  }

  @Test
  void oneNodeTriesQuarantinedRequestOnceAndItsSuccessClearsItOnAll() {
    final Node a = new Node("a");
    final Node b = new Node("b");
    advance(1_000);
    for (int i = 0; i < Quarantine.MAX_CRASHES; i++) {
      a.crashes.onCrash(REQUEST, upstream("u" + i));
    }
    advance(Quarantine.FIRST_TRIAL_DELAY_MILLIS + 1_000);
    boolean byA = !a.quarantines(REQUEST);
    boolean byB = !b.quarantines(REQUEST);
    assertThat(byA).isNotEqualTo(byB);
    assertThat(a.quarantines(REQUEST)).isTrue();
    assertThat(b.quarantines(REQUEST)).isTrue();

    (byA ? a : b).crashes.onCompleted(() -> REQUEST);
    advance(SHARED_MILLIS);
    assertThat(a.quarantines(REQUEST)).isFalse();
    assertThat(b.quarantines(REQUEST)).isFalse();
  }
}
