package io.briarward.core.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ShareProperties {
  private static final Limit LIMIT = new Limit("mill", new Share(100, 20));
  private static final double ROUNDING = 1e-6;

  @Property(seed = "20260201", tries = 100)
  void sumOfSharesStaysWithinLimitUnderLossAndDelay(@ForAll long seed) {
    Network network = new Network(seed, 5);
    network.lossShare = 0.3;
    network.maxDelayMillis = 4_000;
    network.demandChangeSteps = 5;
    for (int step = 0; step < 600; step++) {
      network.step();
      assertThat(network.sum().requestsPerSecond()).isAtMost(100 + ROUNDING);
      assertThat(network.sum().concurrent()).isAtMost(20 + ROUNDING);
      assertThat(network.running()).isAtMost(20);
    }
  }

  @Property(seed = "20260207", tries = 60)
  void sumOfSharesStaysWithinLimitWhenTheCoordinatorChanges(@ForAll long seed) {
    Network network = new Network(seed, 6);
    for (int step = 0; step < 500; step++) {
      if (step % 100 == 99) {
        network.kill(network.coordinator());
      }
      network.step();
      assertThat(network.sum().requestsPerSecond()).isAtMost(100 + ROUNDING);
      assertThat(network.running()).isAtMost(20);
    }
  }

  @Property(seed = "20260208", tries = 20)
  void limitIsUsableAgainAfterLeaseHolderDies(@ForAll long seed) {
    Network network = new Network(seed, 5);
    network.fixedDemands = true;
    String holder = network.nonCoordinator();
    network.demandOnly(holder, new Share(80, 15));
    network.run(200);
    network.kill(holder);
    String survivor = network.nonCoordinator();
    network.demandOnly(survivor, new Share(80, 15));
    network.run(50);
    assertThat(network.share(survivor).requestsPerSecond()).isAtLeast(80.0);
  }

  @Property(seed = "20260209", tries = 20)
  void shareFallsToTheFloorWhenItsLeaseExpires(@ForAll long seed) {
    Network network = new Network(seed, 5);
    network.fixedDemands = true;
    String holder = network.nonCoordinator();
    network.demandOnly(holder, new Share(80, 15));
    network.run(200);
    network.lossShare = 1;
    network.run((int) (ShareNegotiator.LEASE_MILLIS / Network.STEP_MILLIS));
    assertThat(network.share(holder).requestsPerSecond()).isAtMost(100.0 / 5);
  }

  @Property(seed = "20260202", tries = 60)
  void sumOfSharesStaysWithinTwiceTheLimitUnderKillsAndOneWayCuts(@ForAll long seed) {
    Network network = new Network(seed, 5);
    network.lossShare = 0.1;
    network.maxDelayMillis = 500;
    for (int step = 0; step < 900; step++) {
      if (step % 150 == 100) {
        network.killOne();
      }
      if (step % 100 == 50) {
        network.cutOneWay();
      }
      network.step();
      assertThat(network.sum().requestsPerSecond()).isAtMost(200 + ROUNDING);
      assertThat(network.sum().concurrent()).isAtMost(40 + ROUNDING);
    }
  }

  @Property(seed = "20260203", tries = 60)
  void sumOfSharesStaysWithinLimitDuringPartition(@ForAll long seed) {
    Network network = new Network(seed, 5);
    network.run(200);
    network.partition(2);
    network.run((int) (ShareNegotiator.LEASE_MILLIS / Network.STEP_MILLIS) + 1);
    for (int step = 0; step < 200; step++) {
      network.step();
      assertThat(network.sum().requestsPerSecond()).isAtMost(100 + ROUNDING);
    }
  }

  @Property(seed = "20260204", tries = 60)
  void shareMovesToTheNodeThatHasDemand(@ForAll long seed) {
    Network network = new Network(seed, 5);
    network.fixedDemands = true;
    network.demandOnly("n0", new Share(80, 15));
    network.run(200);
    network.demandOnly("n3", new Share(80, 15));
    network.run(200);
    assertThat(network.share("n3").requestsPerSecond()).isAtLeast(80.0);
    // Running requests of the first node keep their part of the limit until they end.
    network.run(800);
    assertThat(network.share("n3").concurrent()).isAtLeast(15.0);
  }

  @Property(seed = "20260205", tries = 60)
  void limitIsUsableAgainAfterLeaseHolderAndCoordinatorDie(@ForAll long seed) {
    Network network = new Network(seed, 5);
    network.fixedDemands = true;
    network.demandOnly("n0", new Share(80, 15));
    network.run(200);
    network.kill("n0");
    String coordinator = network.coordinator();
    network.kill(coordinator);
    String survivor = network.nodes.keySet().iterator().next();
    network.demandOnly(survivor, new Share(80, 15));
    network.run((int) (2 * ShareNegotiator.REGISTRATION_MILLIS / Network.STEP_MILLIS));
    assertThat(network.share(survivor).requestsPerSecond()).isAtLeast(80.0);
  }

  @Property(seed = "20260206", tries = 20)
  void lastShareIsKeptWhilePeersAreUnreachable(@ForAll long seed) {
    Network network = new Network(seed, 3);
    network.fixedDemands = true;
    String holder = network.nonCoordinator();
    network.demandOnly(holder, new Share(80, 15));
    network.run(200);
    network.lossShare = 1;
    network.run((int) (ShareNegotiator.LEASE_MILLIS / 2 / Network.STEP_MILLIS));
    assertThat(network.share(holder).requestsPerSecond()).isAtLeast(80.0);
  }

  /** Nodes that exchange reports and grants over a lossy network, in virtual time. */
  private static final class Network {
    static final long STEP_MILLIS = 100;

    private final SplittableRandom random;
    private final Map<String, ShareNegotiator> nodes = new LinkedHashMap<>();
    private final Map<String, Share> demands = new LinkedHashMap<>();
    private final Map<String, Integer> running = new LinkedHashMap<>();
    private final Map<String, List<String>> cuts = new LinkedHashMap<>();
    private final PriorityQueue<Message> messages =
        new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));
    private double lossShare;
    private long maxDelayMillis = 50;
    private int demandChangeSteps = 20;
    private boolean fixedDemands;
    private long nowMillis;

    Network(long seed, int size) {
      random = new SplittableRandom(seed);
      List<String> ids = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        ids.add("n" + i);
      }
      for (String id : ids) {
        Members all = new Members(id, ImmutableSet.copyOf(ids), ImmutableSet.copyOf(ids));
        ShareNegotiator node = ShareNegotiator.create(all, 0, 0);
        node.replaceLimits(ImmutableList.of(LIMIT));
        nodes.put(id, node);
      }
    }

    void demandOnly(String id, Share demand) {
      demands.clear();
      demands.put(id, demand);
    }

    void run(int steps) {
      for (int i = 0; i < steps; i++) {
        step();
      }
    }

    void step() {
      nowMillis += STEP_MILLIS;
      nodes.forEach(this::poll);
      while (!messages.isEmpty() && messages.peek().atMillis <= nowMillis) {
        Message message = messages.poll();
        if (nodes.containsKey(message.to)) {
          message.delivery.run();
        }
      }
    }

    private void poll(String id, ShareNegotiator node) {
      if (!fixedDemands && random.nextInt(demandChangeSteps) == 0) {
        demands.put(id, new Share(random.nextDouble(120), random.nextInt(25)));
      }
      Share demand = demands.getOrDefault(id, Share.ZERO);
      int running = runRequests(id);
      LimitUse use = new LimitUse(demand, running);
      ImmutableList<OutgoingReport> reports =
          node.poll(ImmutableMap.of(LIMIT.id(), use), nowMillis);
      for (OutgoingReport outgoing : reports) {
        send(id, outgoing.home(), () -> answer(id, outgoing));
      }
    }

    /** Ends some requests, starts as many as share and demand allow, and returns how many run. */
    private int runRequests(String id) {
      int before = running.getOrDefault(id, 0);
      int left = before - (before > 0 && random.nextInt(20) == 0 ? 1 : 0);
      Share demand = demands.getOrDefault(id, Share.ZERO);
      int allowed = (int) Math.min(share(id).concurrent(), demand.concurrent());
      int after = Math.max(left, allowed);
      running.put(id, after);
      return after;
    }

    int running() {
      return running.values().stream().mapToInt(Integer::intValue).sum();
    }

    private void answer(String sender, OutgoingReport outgoing) {
      nodes
          .get(outgoing.home())
          .onReport(sender, outgoing.report(), nowMillis)
          .ifPresent(
              grant ->
                  send(outgoing.home(), sender, () -> nodes.get(sender).onGrant(grant, nowMillis)));
    }

    private void send(String from, String to, Runnable delivery) {
      boolean cut = cuts.getOrDefault(from, List.of()).contains(to);
      if (!cut && random.nextDouble() >= lossShare) {
        long delayMillis = random.nextLong(maxDelayMillis);
        messages.add(new Message(nowMillis + delayMillis, to, delivery));
      }
    }

    void cutOneWay() {
      cuts.clear();
      List<String> ids = List.copyOf(nodes.keySet());
      String from = ids.get(random.nextInt(ids.size()));
      cuts.put(from, List.of(ids.get(random.nextInt(ids.size()))));
    }

    void killOne() {
      List<String> ids = List.copyOf(nodes.keySet());
      if (ids.size() > 2) {
        kill(ids.get(random.nextInt(ids.size())));
      }
    }

    void kill(String id) {
      nodes.remove(id);
      running.remove(id);
      demands.remove(id);
      ImmutableSet<String> survivors = ImmutableSet.copyOf(nodes.keySet());
      nodes.forEach(
          (each, node) -> node.setMembers(new Members(each, survivors, survivors), nowMillis));
    }

    void partition(int firstSize) {
      List<String> ids = List.copyOf(nodes.keySet());
      ImmutableSet<String> first = ImmutableSet.copyOf(ids.subList(0, firstSize));
      ImmutableSet<String> second = ImmutableSet.copyOf(ids.subList(firstSize, ids.size()));
      ImmutableSet<String> all = ImmutableSet.copyOf(ids);
      for (String id : ids) {
        boolean inFirst = first.contains(id);
        ImmutableSet<String> side = inFirst ? first : second;
        cuts.put(id, List.copyOf(inFirst ? second : first));
        nodes.get(id).setMembers(new Members(id, side, all), nowMillis);
      }
    }

    String coordinator() {
      ImmutableSet<String> all = ImmutableSet.copyOf(nodes.keySet());
      return new Members(all.iterator().next(), all, all).coordinatorOf(LIMIT.id());
    }

    /** Returns a node that is not the limit's coordinator. */
    String nonCoordinator() {
      List<String> others = new ArrayList<>(nodes.keySet());
      others.remove(coordinator());
      return others.get(0);
    }

    Share share(String id) {
      return nodes.get(id).share(LIMIT.id(), nowMillis);
    }

    Share sum() {
      Share sum = Share.ZERO;
      for (String id : nodes.keySet()) {
        sum = sum.plus(share(id));
      }
      return sum;
    }

    private record Message(long atMillis, String to, Runnable delivery) {}
  }
}
