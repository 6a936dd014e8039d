package io.briarward.node.streams;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.LimitShares;
import io.briarward.core.fleet.NodeDemand;
import io.briarward.core.streams.OriginHistory;
import io.briarward.core.streams.StreamOrigin;
import io.briarward.node.fleet.FleetState;
import io.briarward.node.fleet.Incarnations;
import io.briarward.node.fleet.NodeRegistry;
import io.briarward.node.fleet.TableWatch;
import io.briarward.node.telemetry.EventLog;
import io.briarward.node.testing.FakeFleetDecoder;
import io.briarward.node.testing.MemoryStore;
import io.briarward.node.testing.MemoryStore.WriteOutcome;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Streams begin and are taken up at random nodes while software versions come and go, processes are
 * killed and the store fails.
 */
class StreamOriginsProperties {
  private static final Optional<String> ORGANISATION = Optional.of("nadi-mill");
  private static final int NODES = 4;
  private static final int SAMPLERS = 4;
  private static final int STEPS = 150;
  private static final int ROUNDS = 5;
  private static final int STEPS_PER_ROUND = 12;

  /** Streams are taken up within the age for which origins are kept. */
  private static final long MAX_TAKE_UP_MILLIS = 110_000;

  @Property(tries = 40, seed = "4101", shrinking = ShrinkingMode.OFF)
  void streamNeverContinuesAtAnotherSoftwareVersion(@ForAll long seed) {
    Simulation simulation = new Simulation(seed, true);
    simulation.run();
    assertWithMessage("seed %s", seed).that(simulation.joined).isEmpty();
  }

  @Property(tries = 20, seed = "4102", shrinking = ShrinkingMode.OFF)
  void streamsContinueWhileTheStoreServes(@ForAll long seed) {
    Simulation simulation = new Simulation(seed, false);
    simulation.run();
    assertThat(simulation.joined).isEmpty();
    assertWithMessage("seed %s, %s taken up", seed, simulation.takenUp)
        .that(2 * simulation.unknown)
        .isAtMost(simulation.takenUp);
  }

  /** Nodes that have long seen one version are out of step while another one comes. */
  @Property(tries = 40, seed = "4103", shrinking = ShrinkingMode.OFF)
  void nodesOutOfStepDoNotContinueStreamsAtAnotherSoftwareVersion(@ForAll long seed) {
    Simulation simulation = new Simulation(seed, true);
    simulation.runOutOfStep();
    assertWithMessage("seed %s", seed).that(simulation.joined).isEmpty();
  }

  private static final class Simulation {
    final List<String> joined = new ArrayList<>();
    int takenUp;
    int unknown;

    private final Random random;
    private final boolean storeFails;
    private final TestScheduler scheduler = new TestScheduler();
    private final MemoryStore store = MemoryStore.create(scheduler);
    private final FakeFleetDecoder decoder = new FakeFleetDecoder();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, StreamOrigin> truth = new HashMap<>();
    private final List<String> open = new ArrayList<>();
    private final Map<String, Long> begunAtMillis = new HashMap<>();
    private int nextVersion = 2;

    Simulation(long seed, boolean storeFails) {
      this.random = new Random(seed);
      this.storeFails = storeFails;
    }

    private final class Node {
      final String name;
      final HeldFeed feed = new HeldFeed(store);
      final FleetState fleet;
      final TableWatch upstreams;
      final NodeRegistry registry;
      final StreamOrigins origins;

      Node(String name) {
        this.name = name;
        EventLog log = EventLog.create(scheduler);
        String incarnation = Incarnations.create(name, "10.0.0.1");
        fleet = FleetState.create(decoder, scheduler, log, "nadi", LimitShares.create(name));
        upstreams =
            TableWatch.start(
                feed, scheduler, log, decoder.upstreamTable(), 20, fleet.upstreamRows());
        registry =
            NodeRegistry.start(
                store, store, scheduler, log, name, incarnation, () -> NodeDemand.NONE);
        origins =
            StreamOrigins.start(
                store, registry, fleet, upstreams::unseenChanges, scheduler, log, incarnation);
      }

      void kill() {
        origins.close();
        registry.close();
        upstreams.close();
      }
    }

    void run() {
      start();
      for (int step = 0; step < STEPS; step++) {
        act(step);
        advance(random.nextInt(20) == 0 ? 60_000 : random.nextInt(1_500));
      }
    }

    /** Lets a version come while some nodes hear of nothing, after a long time of one version. */
    void runOutOfStep() {
      start();
      for (int round = 0; round < ROUNDS; round++) {
        nextVersion++;
        for (int i = 0; i < SAMPLERS; i++) {
          register(i, Integer.toString(nextVersion));
        }
        advance(OriginHistory.MAX_STREAM_AGE_MILLIS + 1_000);
        nodes.stream().filter(unused -> random.nextBoolean()).forEach(node -> node.feed.hold());
        nextVersion++;
        register(random.nextInt(SAMPLERS), Integer.toString(nextVersion));
        for (int step = 0; step < STEPS_PER_ROUND; step++) {
          advance(random.nextInt(100));
          act(round * STEPS_PER_ROUND + step);
          if (random.nextInt(4) == 0) {
            randomNode().feed.release();
          }
        }
        nodes.forEach(node -> node.feed.release());
        store.setDown(false);
        store.setWriteOutcomes(transaction -> WriteOutcome.APPLIED);
      }
    }

    private void start() {
      for (int i = 0; i < SAMPLERS; i++) {
        register(i, "1");
      }
      for (int i = 0; i < NODES; i++) {
        nodes.add(new Node("n" + i));
      }
      advance(1_000);
    }

    private void act(int step) {
      int action = random.nextInt(100);
      if (action < 45) {
        begin("r" + step);
      } else if (action < 80) {
        takeUp();
      } else if (action < 87) {
        replaceSampler();
      } else if (action < 90) {
        removeSampler();
      } else if (action < 94) {
        killAndRestart(random.nextInt(NODES));
      } else if (action < 95) {
        for (int i = 0; i < NODES; i++) {
          killAndRestart(i);
        }
      } else if (storeFails) {
        boolean down = random.nextBoolean();
        store.setDown(down && random.nextBoolean());
        store.setWriteOutcomes(transaction -> down ? WriteOutcome.REJECTED : WriteOutcome.APPLIED);
      }
    }

    private void killAndRestart(int killed) {
      nodes.get(killed).kill();
      nodes.set(killed, new Node(nodes.get(killed).name));
    }

    private void removeSampler() {
      store.remove(decoder.upstreamTable(), "s" + random.nextInt(SAMPLERS));
    }

    private void register(int sampler, String softwareVersion) {
      store.put(
          decoder.upstreamTable(), "s" + sampler, FakeFleetDecoder.samplerRow(softwareVersion));
    }

    private void replaceSampler() {
      if (random.nextInt(3) == 0) {
        nextVersion++;
      }
      register(random.nextInt(SAMPLERS), Integer.toString(nextVersion));
    }

    private Node randomNode() {
      return nodes.get(random.nextInt(NODES));
    }

    private void begin(String requestId) {
      Node node = randomNode();
      ImmutableList<StreamOrigin> origins =
          node.fleet.balancer().entries().stream()
              .map(StreamOrigin::of)
              .collect(ImmutableList.toImmutableList());
      if (origins.isEmpty()) {
        return;
      }
      StreamOrigin origin = origins.get(random.nextInt(origins.size()));
      truth.put(requestId, origin);
      open.add(requestId);
      begunAtMillis.put(requestId, scheduler.now(TimeUnit.MILLISECONDS));
      node.origins.onBegun(ORGANISATION, requestId, origin);
    }

    /** Some callers do not name the request that brought the first event. */
    private Single<Optional<StreamOrigin>> find(StreamOrigins origins, String requestId) {
      ImmutableSet<String> services = ImmutableSet.of(FakeFleetDecoder.SAMPLERS);
      return storeFails && random.nextBoolean()
          ? origins.findSole(services)
          : origins.find(ORGANISATION, requestId, services);
    }

    private void takeUp() {
      long sinceMillis = scheduler.now(TimeUnit.MILLISECONDS) - MAX_TAKE_UP_MILLIS;
      open.removeIf(requestId -> begunAtMillis.get(requestId) < sinceMillis);
      if (open.isEmpty()) {
        return;
      }
      String requestId = open.remove(random.nextInt(open.size()));
      TestObserver<Optional<StreamOrigin>> found = find(randomNode().origins, requestId).test();
      advance(1_000);
      takenUp++;
      Optional<StreamOrigin> origin = found.values().get(0);
      if (origin.isEmpty()) {
        unknown++;
      } else if (!origin.get().equals(truth.get(requestId))) {
        joined.add(requestId + " began at " + truth.get(requestId) + ", not at " + origin.get());
      }
    }

    private void advance(long millis) {
      for (long passed = 0; passed < millis; passed += 10) {
        scheduler.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      }
    }
  }
}
