package io.briarward.core.fleet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;

/**
 * Nodes that send requests to upstreams with slots, in virtual time.
 *
 * <p>An upstream runs as many requests as it has slots, queues as many again and rejects the rest.
 * With the load header of four parts the nodes pace their requests; without it they decide as they
 * did before there was such a header.
 */
final class PaceModel {
  static final String SERVICE = "orders";
  private static final int MAX_REJECTIONS = 6;
  private static final long LINK_MILLIS = 1;

  /** The time after which a node gives up an attempt without response. */
  private static final long ATTEMPT_TIMEOUT_MILLIS = 300;

  final List<UpstreamBalancer> nodes = new ArrayList<>();
  final Map<String, Upstream> upstreams = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final boolean reportsLoad;
  private final SplittableRandom random;
  private long eventCount;
  private long nowMillis;

  int inTime;
  long inTimeMillis;
  int late;
  int rejectedCallers;
  int upstreamRejections;
  final List<Long> retryAfterMillis = new ArrayList<>();

  /** The time of slots that were free while a request waited or was rejected. */
  long idleSlotMillis;

  private record Event(long atMillis, long number, Runnable action) {}

  /** An upstream; the service time of a request is multiplied by its slowness at the start. */
  final class Upstream {
    final UpstreamEntry entry;
    final long serviceMillis;
    LongToDoubleFunction slowness = millis -> 1;
    boolean reportsSlowness = true;
    boolean alive = true;
    Optional<UpstreamLoad> falseLoad = Optional.empty();
    int running;
    int maxRunningAndWaiting;
    int received;
    final Deque<Runnable> queue = new ArrayDeque<>();

    Upstream(UpstreamEntry entry, long serviceMillis) {
      this.entry = entry;
      this.serviceMillis = serviceMillis;
    }

    Optional<UpstreamLoad> load() {
      if (!reportsLoad) {
        return Optional.empty();
      }
      int percent =
          reportsSlowness ? (int) Math.round(100 * slowness.applyAsDouble(nowMillis)) : 100;
      return falseLoad.or(
          () ->
              Optional.of(
                  new UpstreamLoad(running, queue.size(), entry.slots(), OptionalInt.of(percent))));
    }

    void receive(Attempt attempt) {
      if (!alive) {
        return;
      }
      received++;
      if (running >= entry.slots() && queue.size() >= entry.slots()) {
        upstreamRejections++;
        Optional<UpstreamLoad> load = load();
        after(LINK_MILLIS, () -> attempt.onRejected(load));
        return;
      }
      Runnable start =
          () -> {
            running++;
            long millis = Math.round(serviceMillis * slowness.applyAsDouble(nowMillis));
            after(Math.max(1, millis), () -> complete(attempt));
          };
      if (running < entry.slots()) {
        start.run();
      } else {
        queue.add(start);
      }
      maxRunningAndWaiting = Math.max(maxRunningAndWaiting, running + queue.size());
    }

    private void complete(Attempt attempt) {
      if (!alive) {
        return;
      }
      running--;
      Optional<UpstreamLoad> load = load();
      after(LINK_MILLIS, () -> attempt.onAnswered(load));
      if (!queue.isEmpty()) {
        queue.remove().run();
      }
    }

    void die() {
      alive = false;
      running = 0;
      queue.clear();
    }
  }

  /** A request of a caller. */
  private final class Request {
    final int node;
    final String id;
    final long arrivedAtMillis = nowMillis;
    final long dueMillis;
    final Set<String> tried = new HashSet<>();
    int rejections;
    boolean waiting;

    Request(int node, String id, long dueMillis) {
      this.node = node;
      this.id = id;
      this.dueMillis = dueMillis;
    }

    UpstreamBalancer balancer() {
      return nodes.get(node);
    }

    void start() {
      if (waiting) {
        waiting = false;
        balancer().backlog().onWaitEnded(SERVICE);
      }
      if (nowMillis >= arrivedAtMillis + dueMillis) {
        late++;
        return;
      }
      ImmutableSet<String> excluded = ImmutableSet.copyOf(tried);
      Optional<UpstreamEntry> chosen =
          balancer()
              .choose(SERVICE, excluded, entry -> true, nowMillis)
              .or(
                  () ->
                      balancer()
                          .chooseIgnoringEjection(SERVICE, excluded, entry -> true, nowMillis));
      if (chosen.isEmpty()) {
        Optional<PacedBacklog.Decision> decision =
            balancer().backlog().decide(SERVICE, id, arrivedAtMillis + dueMillis, nowMillis);
        if (decision.filter(PacedBacklog.Decision::waits).isPresent()) {
          tried.clear();
          rejections = 0;
          waiting = true;
          balancer().backlog().onWaiting(SERVICE);
          after(decision.get().afterMillis(), this::start);
        } else {
          rejectedCallers++;
          decision.ifPresent(rejected -> retryAfterMillis.add(rejected.afterMillis()));
        }
        return;
      }
      Upstream upstream = upstreams.get(chosen.get().id());
      tried.add(upstream.entry.id());
      balancer().onSent(upstream.entry.id());
      Attempt attempt = new Attempt(this, upstream);
      after(LINK_MILLIS, () -> upstream.receive(attempt));
      after(ATTEMPT_TIMEOUT_MILLIS, attempt::onTimeout);
    }
  }

  private final class Attempt {
    final Request request;
    final Upstream upstream;
    final long sentAtMillis = nowMillis;
    boolean ended;

    Attempt(Request request, Upstream upstream) {
      this.request = request;
      this.upstream = upstream;
    }

    private boolean end(Optional<UpstreamLoad> load) {
      if (ended) {
        return false;
      }
      ended = true;
      request.balancer().onLoad(upstream.entry, load, nowMillis);
      return true;
    }

    void onAnswered(Optional<UpstreamLoad> load) {
      if (end(load)) {
        request.balancer().onAnswered(upstream.entry.id(), nowMillis - sentAtMillis);
        if (nowMillis <= request.arrivedAtMillis + request.dueMillis) {
          inTime++;
          inTimeMillis += nowMillis - request.arrivedAtMillis;
        } else {
          late++;
        }
      }
    }

    void onRejected(Optional<UpstreamLoad> load) {
      if (end(load)) {
        request.balancer().onRejected(upstream.entry.id(), nowMillis, 50);
        request.rejections++;
        if (request.rejections < MAX_REJECTIONS) {
          request.start();
        } else {
          rejectedCallers++;
        }
      }
    }

    void onTimeout() {
      if (!ended) {
        ended = true;
        request.balancer().onFailed(upstream.entry.id(), nowMillis);
        request.start();
      }
    }
  }

  PaceModel(int nodeCount, boolean reportsLoad, long seed) {
    this.reportsLoad = reportsLoad;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(UpstreamBalancer.create("nadi", LimitShares.create("n" + i), random.split()));
    }
  }

  Upstream add(String id, int slots, long serviceMillis) {
    UpstreamEntry entry =
        new UpstreamEntry(
            id,
            SERVICE,
            "nadi",
            "10.0.0.1",
            80,
            nowMillis,
            slots,
            false,
            false,
            "1",
            ImmutableMap.of());
    Upstream upstream = new Upstream(entry, serviceMillis);
    upstreams.put(id, upstream);
    nodes.forEach(node -> node.put(entry));
    return upstream;
  }

  void remove(String id) {
    upstreams.get(id).die();
    nodes.forEach(node -> node.remove(id));
  }

  long nowMillis() {
    return nowMillis;
  }

  void after(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, eventCount++, action));
  }

  void request(int node, long dueMillis) {
    new Request(node, "r" + eventCount + "-" + node, dueMillis).start();
  }

  /** Sends requests of random nodes at a rate until a time, relative to the present one. */
  void load(double perSecond, long forMillis, long dueMillis) {
    double millis = 0;
    while (true) {
      millis -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      if (millis >= forMillis) {
        return;
      }
      after((long) millis, () -> request(random.nextInt(nodes.size()), dueMillis));
    }
  }

  /** Advances the time, and counts free slots while requests wait on a node. */
  void run(long millis) {
    long endMillis = nowMillis + millis;
    while (nowMillis < endMillis) {
      while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
        events.remove().action().run();
      }
      int waiting = nodes.stream().mapToInt(node -> node.backlog().waiting()).sum();
      int free =
          upstreams.values().stream()
              .filter(upstream -> upstream.alive)
              .mapToInt(upstream -> upstream.entry.slots() - upstream.running)
              .sum();
      idleSlotMillis += Math.min(waiting, free);
      nowMillis++;
    }
  }

  void resetCounts() {
    inTime = 0;
    inTimeMillis = 0;
    late = 0;
    rejectedCallers = 0;
    upstreamRejections = 0;
    idleSlotMillis = 0;
    upstreams.values().forEach(upstream -> upstream.maxRunningAndWaiting = 0);
  }

  @Override
  public String toString() {
    return "inTime="
        + inTime
        + " meanMillis="
        + (inTimeMillis / Math.max(1, inTime))
        + " late="
        + late
        + " rejectedCallers="
        + rejectedCallers
        + " upstreamRejections="
        + upstreamRejections
        + " idleSlotMillis="
        + idleSlotMillis;
  }
}
