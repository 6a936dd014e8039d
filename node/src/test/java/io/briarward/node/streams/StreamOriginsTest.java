package io.briarward.node.streams;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.NodeDemand;
import io.briarward.core.platform.Row;
import io.briarward.core.streams.OriginHistory;
import io.briarward.core.streams.StreamOrigin;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.platform.ChangeFeed;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.FakeFleetDecoder;
import io.briarward.node.testing.MemoryStore;
import io.briarward.node.testing.MemoryStore.WriteOutcome;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {
  private static final Optional<String> ORGANISATION = Optional.of("nadi-mill");
  private static final StreamOrigin OLD = new StreamOrigin(FakeFleetDecoder.SAMPLERS, "1");
  private static final StreamOrigin NEW = new StreamOrigin(FakeFleetDecoder.SAMPLERS, "2");
  private static final long SHARED_MILLIS = 500;
  private static final long REMOVED_MILLIS = OriginHistory.MAX_STREAM_AGE_MILLIS + 31_000;

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryStore store = MemoryStore.create(scheduler);
  private final FakeFleetDecoder decoder = new FakeFleetDecoder();

  private final class Node implements AutoCloseable {
    final HeldFeed feed = new HeldFeed(store);
    final FleetState fleet;
    final TableWatch upstreams;
    final NodeRegistry nodes;
    final StreamOrigins origins;

    Node(String name) {
      EventLog log = EventLog.create(scheduler);
      String incarnation = Incarnations.create(name, "10.0.0.1");
      fleet = FleetState.create(decoder, scheduler, log, "nadi", LimitShares.create(name));
      upstreams =
          TableWatch.start(feed, scheduler, log, decoder.upstreamTable(), 20, fleet.upstreamRows());
      nodes =
          NodeRegistry.start(
              store, store, scheduler, log, name, incarnation, () -> NodeDemand.NONE);
      origins =
          StreamOrigins.start(
              store, nodes, fleet, upstreams::unseenChanges, scheduler, log, incarnation);
      advance(SHARED_MILLIS);
    }

    Optional<StreamOrigin> find(String requestId) {
      return find(requestId, FakeFleetDecoder.SAMPLERS);
    }

    Optional<StreamOrigin> find(String requestId, String service) {
      TestObserver<Optional<StreamOrigin>> observer =
          origins.find(ORGANISATION, requestId, ImmutableSet.of(service)).test();
      advance(1_000);
      return observer.values().get(0);
    }

    Optional<StreamOrigin> soleOrigin() {
      TestObserver<Optional<StreamOrigin>> observer =
          origins.findSole(ImmutableSet.of(FakeFleetDecoder.SAMPLERS)).test();
      advance(1_000);
      return observer.values().get(0);
    }

    @Override
    public void close() {
      origins.close();
      nodes.close();
      upstreams.close();
    }
  }

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += 10) {
      scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
    }
  }

  private void register(String id, String softwareVersion) {
    store.put(decoder.upstreamTable(), id, FakeFleetDecoder.samplerRow(softwareVersion));
  }

  @Test
  void originIsKnownToOtherNodesAfterItsNodeIsGone() {
    register("s1", "1");
    register("s2", "2");
    Node a = new Node("a");
    a.origins.onBegun(ORGANISATION, "r1", OLD);
    a.origins.onBegun(ORGANISATION, "r2", NEW);
    advance(SHARED_MILLIS);
    a.close();
    try (Node b = new Node("b")) {
      assertThat(b.find("r1")).isEqualTo(Optional.of(OLD));
      assertThat(b.find("r2")).isEqualTo(Optional.of(NEW));
    }
  }

  @Test
  void originIsUnknownWithoutRecordWhileTwoVersionsServe() {
    register("s1", "1");
    register("s2", "2");
    try (Node a = new Node("a")) {
      advance(REMOVED_MILLIS);
      assertThat(a.find("r1")).isEmpty();
    }
  }

  @Test
  void startedNodeDoesNotTakeTheOnlyVersionForTheOrigin() {
    register("s1", "1");
    try (Node a = new Node("a")) {
      assertThat(a.find("r1")).isEmpty();
    }
  }

  @Test
  void originsOfTheOnlyVersionAreNeitherRecordedNorNeeded() {
    register("s1", "1");
    try (Node a = new Node("a");
        Node b = new Node("b")) {
      advance(REMOVED_MILLIS);
      a.origins.onBegun(ORGANISATION, "r1", OLD);
      advance(SHARED_MILLIS);
      assertThat(store.rows(StreamOrigins.TABLE)).isEmpty();
      assertThat(b.find("r1")).isEqualTo(Optional.of(OLD));
    }
  }

  /** All nodes were killed at once during a release, so that none remembered its streams. */
  @Test
  void originsFromBeforeTheSecondVersionAreKnownOnceAllNodesWereKilled() {
    register("s1", "1");
    Node a = new Node("a");
    Node b = new Node("b");
    advance(REMOVED_MILLIS);
    a.origins.onBegun(ORGANISATION, "r1", OLD);
    b.origins.onBegun(ORGANISATION, "r2", OLD);
    advance(5_000);
    assertThat(store.rows(StreamOrigins.TABLE)).isEmpty();
    register("s2", "2");
    advance(1_000);
    a.close();
    b.close();
    store.remove(decoder.upstreamTable(), "s1");
    try (Node restarted = new Node("a")) {
      assertThat(restarted.find("r1")).isEqualTo(Optional.of(OLD));
      assertThat(restarted.find("r2")).isEqualTo(Optional.of(OLD));
    }
  }

  /** All nodes were killed at once before they recorded a stream of the version that then left. */
  @Test
  void remainingVersionIsNotTakenForTheOriginOnceAllNodesWereKilled() {
    register("s1", "1");
    register("s2", "2");
    Node a = new Node("a");
    advance(REMOVED_MILLIS);
    store.setWriteOutcomes(transaction -> WriteOutcome.REJECTED);
    a.origins.onBegun(ORGANISATION, "r1", OLD);
    a.close();
    store.remove(decoder.upstreamTable(), "s1");
    store.setWriteOutcomes(transaction -> WriteOutcome.APPLIED);
    try (Node restarted = new Node("a")) {
      assertThat(restarted.find("r1")).isEmpty();
      assertThat(restarted.soleOrigin()).isEmpty();
      advance(OriginHistory.MAX_STREAM_AGE_MILLIS - 10_000);
      assertThat(restarted.find("r1")).isEmpty();
      assertThat(restarted.soleOrigin()).isEmpty();
    }
  }

  @Test
  void originIsUnknownWhileTheStoreDoesNotAnswer() {
    register("s1", "1");
    try (Node a = new Node("a");
        Node b = new Node("b")) {
      advance(REMOVED_MILLIS);
      store.setDown(true);
      assertThat(b.find("r1")).isEmpty();
      a.origins.onBegun(ORGANISATION, "r2", OLD);
      assertThat(a.find("r2")).isEqualTo(Optional.of(OLD));
    }
  }

  @Test
  void recordThatTheStoreDidNotAcceptIsWrittenLater() {
    register("s1", "1");
    register("s2", "2");
    try (Node a = new Node("a");
        Node b = new Node("b")) {
      store.setWriteOutcomes(transaction -> WriteOutcome.REJECTED);
      a.origins.onBegun(ORGANISATION, "r1", NEW);
      advance(2_000);
      assertThat(b.find("r1")).isEmpty();
      store.setWriteOutcomes(transaction -> WriteOutcome.APPLIED);
      advance(2_000);
      assertThat(b.find("r1")).isEqualTo(Optional.of(NEW));
    }
  }

  @Test
  void recordsAreRemovedOnceNoStreamIsThatOld() {
    register("s1", "1");
    register("s2", "2");
    Node a = new Node("a");
    a.origins.onBegun(ORGANISATION, "r1", OLD);
    advance(SHARED_MILLIS);
    assertThat(store.rows(StreamOrigins.TABLE)).hasSize(1);
    a.close();
    try (Node b = new Node("b")) {
      advance(OriginHistory.MAX_STREAM_AGE_MILLIS - 10_000);
      assertThat(store.rows(StreamOrigins.TABLE)).hasSize(1);
      advance(2 * REMOVED_MILLIS);
      assertThat(store.rows(StreamOrigins.TABLE)).isEmpty();
      assertThat(b.find("r1")).isEmpty();
    }
  }

  /** Deletions by the thousand filled the writer, so that new origins were not recorded. */
  @Test
  void newOriginsAreRecordedWhileManyOldRecordsAreRemoved() {
    register("s1", "1");
    register("s2", "2");
    try (Node a = new Node("a");
        Node b = new Node("b")) {
      for (int i = 0; i < 4; i++) {
        for (int stream = 0; stream < 1_500; stream++) {
          a.origins.onBegun(ORGANISATION, "old-" + i + "-" + stream, OLD);
          b.origins.onBegun(ORGANISATION, "older-" + i + "-" + stream, OLD);
        }
        advance(1_000);
      }
      assertThat(store.rows(StreamOrigins.TABLE)).hasSize(10_000); // The first of 12,000.
      advance(OriginHistory.MAX_STREAM_AGE_MILLIS - 10_000);
      List<String> recent = new ArrayList<>();
      for (int step = 0; step < 4_000; step++) {
        String id = "new-" + step;
        recent.add(id);
        (step % 2 == 0 ? a : b).origins.onBegun(ORGANISATION, id, NEW);
        advance(10);
      }
      advance(SHARED_MILLIS);
      try (Node c = new Node("c")) {
        for (int step = 0; step < recent.size(); step += 100) {
          assertThat(c.find(recent.get(step))).isEqualTo(Optional.of(NEW));
          assertThat(c.find(recent.get(step + 1))).isEqualTo(Optional.of(NEW));
        }
      }
    }
  }

  /** Lets a stream begin at a new version, unrecorded, while node {@code b} learns of nothing. */
  private void beginAtVersionUnseenBy(Node b, Node a) {
    advance(REMOVED_MILLIS);
    register("s1", "1"); // A heartbeat, after which the view of b is new.
    advance(100);
    b.feed.hold();
    register("s2", "2");
    advance(100);
    store.setWriteOutcomes(transaction -> WriteOutcome.REJECTED);
    a.origins.onBegun(ORGANISATION, "r1", NEW);
    a.close();
    advance(100);
  }

  /** A node whose link was cut for a moment took the version that it knew for the only one. */
  @Test
  void nodeThatDidNotHearOfNewVersionDoesNotInferTheOrigin() {
    register("s1", "1");
    Node a = new Node("a");
    try (Node b = new Node("b")) {
      beginAtVersionUnseenBy(b, a);
      assertThat(b.soleOrigin()).isEmpty();
      assertThat(b.find("r1")).isEmpty();
    }
  }

  /** A node that had stood still took a response from before that for a new one. */
  @Test
  void nodeThatHandlesLateResponseDoesNotInferTheOrigin() {
    register("s1", "1");
    Node a = new Node("a");
    try (Node b = new Node("b")) {
      beginAtVersionUnseenBy(b, a);
      advance(1_900);
      b.feed.release();
      b.feed.hold();
      advance(100);
      assertThat(b.soleOrigin()).isEmpty();
      assertThat(b.find("r1")).isEmpty();
    }
  }

  /** The new version came and went while the node heard of nothing. */
  @Test
  void nodeThatHearsOnlyOfTheEndOfUnknownUpstreamDoesNotInferTheOrigin() {
    register("s1", "1");
    Node a = new Node("a");
    try (Node b = new Node("b")) {
      beginAtVersionUnseenBy(b, a);
      store.remove(decoder.upstreamTable(), "s2");
      advance(100);
      assertThat(b.soleOrigin()).isEmpty();
      assertThat(b.find("r1")).isEmpty();
    }
  }

  @Test
  void nodeBehindInfersTheOriginWhileItMissedNothingOfOtherVersions() {
    register("s1", "1");
    try (Node b = new Node("b")) {
      advance(REMOVED_MILLIS);
      b.feed.hold();
      register("s1", "1");
      register("s2", "1");
      advance(100);
      assertThat(b.soleOrigin()).isEqualTo(Optional.of(OLD));
      assertThat(b.find("r1")).isEqualTo(Optional.of(OLD));
    }
  }

  private void configure(Node node, long version, String streamService) {
    String key = decoder.configurationKey();
    Row row = new Row(key, version, FakeFleetDecoder.configurationRow(version, streamService));
    node.fleet
        .operatorRows()
        .onChanges(ImmutableList.of(new ChangeFeed.Change(key, Optional.of(row))));
  }

  /** The only version of the service that streams had just moved to was taken for the origin. */
  @Test
  void onlyVersionOfServiceThatStreamsMovedToIsNotTakenForTheOrigin() {
    register("s1", "1");
    store.put(decoder.upstreamTable(), "d1", FakeFleetDecoder.scorerRow(FakeFleetDecoder.SCORERS));
    Node a = new Node("a");
    try (Node b = new Node("b")) {
      configure(b, 1, FakeFleetDecoder.SAMPLERS);
      advance(REMOVED_MILLIS);
      a.origins.onBegun(ORGANISATION, "r1", OLD);
      a.close();
      configure(b, 2, FakeFleetDecoder.SCORERS);
      assertThat(b.find("r1", FakeFleetDecoder.SCORERS)).isEmpty();
      configure(b, 3, FakeFleetDecoder.SCORERS);
      advance(REMOVED_MILLIS);
      assertThat(b.find("r2", FakeFleetDecoder.SCORERS)).isPresent();
    }
  }
}
