package io.briarward.core.routing;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Upstream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The upstreams of one service in one data centre. Not thread-safe. */
final class DataCentrePool {
  /** Up to this many upstreams are all compared; above, some are sampled. */
  private static final int COMPARE_ALL_LIMIT = 8;

  /** How many points of the ring are tried to find a home that accepts work. */
  private static final int HOME_ATTEMPTS = 8;

  private static final int PREFIX_CAPACITY = 16_384;
  private static final double INITIAL_SERVICE_MILLIS = 1_000;
  private static final double SERVICE_TIME_GAIN = 0.05;

  private final RoutingPolicy policy;
  private final RandomGenerator random;
  private final PrefixIndex prefixes;
  private final List<Partition> partitions = new ArrayList<>();
  private final PriorityQueue<UpstreamState> ejected =
      new PriorityQueue<>(
          Comparator.comparingLong((UpstreamState state) -> state.health().readmitAtMillis()));

  private Map<String, UpstreamState> byId = new HashMap<>();
  private HashRing ring = HashRing.of(ImmutableList.of());
  private double serviceMillis = INITIAL_SERVICE_MILLIS;
  private long newestWeightVersion;

  DataCentrePool(RoutingPolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
    this.prefixes = new PrefixIndex(PREFIX_CAPACITY, policy.prefixRetentionMillis());
  }

  RoutingPolicy policy() {
    return policy;
  }

  List<Partition> partitions() {
    return partitions;
  }

  double serviceMillis() {
    return serviceMillis;
  }

  long newestWeightVersion() {
    return newestWeightVersion;
  }

  Set<String> ids() {
    return byId.keySet();
  }

  Optional<UpstreamState> state(String upstreamId) {
    return Optional.ofNullable(byId.get(upstreamId));
  }

  /** Replaces the upstreams, keeping what is known of those that stay as they are. */
  void replace(List<Upstream> upstreams) {
    Map<String, UpstreamState> next = new HashMap<>();
    for (Upstream upstream : upstreams) {
      UpstreamState known = byId.get(upstream.id());
      boolean unchanged = known != null && known.upstream().equals(upstream);
      next.put(upstream.id(), unchanged ? known : new UpstreamState(upstream));
    }
    for (UpstreamState old : byId.values()) {
      if (next.get(old.upstream().id()) != old) {
        old.markLeaving();
        ejected.remove(old);
        place(old);
      }
    }
    byId = next;
    ring = HashRing.of(ImmutableList.copyOf(next.values()));
    next.values().forEach(this::place);
  }

  /** Applies a change to an upstream and moves it to the partition that it then belongs to. */
  void update(UpstreamState state, Runnable change) {
    if (state.partition() != null) {
      removeFromPartition(state);
    }
    change.run();
    place(state);
  }

  private void place(UpstreamState state) {
    if (state.partition() != null && !(state.accepts() && state.partition().holds(state))) {
      removeFromPartition(state);
    }
    if (state.partition() == null && state.accepts()) {
      partitionOf(state).add(state);
    }
  }

  private void removeFromPartition(UpstreamState state) {
    state.partition().remove(state);
  }

  private Partition partitionOf(UpstreamState state) {
    for (Partition partition : partitions) {
      if (partition.holds(state)) {
        return partition;
      }
    }
    partitions.removeIf(partition -> partition.size() == 0);
    Partition created = new Partition(state.upstream().reclaimable(), state.weightVersion());
    partitions.add(created);
    return created;
  }

  /** Returns the number of upstreams that accept work and satisfy the request's bounds. */
  int count(long minWeightVersion, boolean reclaimableAllowed) {
    int count = 0;
    for (Partition partition : partitions) {
      if (partition.serves(minWeightVersion, reclaimableAllowed)) {
        count += partition.size();
      }
    }
    return count;
  }

  /** Compares candidates for the request; the result has none if no upstream may serve it. */
  Candidates choose(RouteRequest request, boolean reclaimableAllowed, long nowMillis) {
    readmit(nowMillis);
    Candidates candidates = new Candidates(this, request, reclaimableAllowed, nowMillis);
    int count = count(request.minWeightVersion(), reclaimableAllowed);
    offerHolders(candidates, request);
    offerHome(candidates, request);
    if (count <= COMPARE_ALL_LIMIT) {
      offerWalk(candidates, request, reclaimableAllowed, count, false);
    } else {
      offerSamples(candidates, request, reclaimableAllowed, count);
    }
    return candidates;
  }

  private void offerSamples(
      Candidates candidates, RouteRequest request, boolean reclaimableAllowed, int count) {
    for (int i = 0; i < policy.randomCandidates(); i++) {
      int index = random.nextInt(count);
      candidates.offer(member(request, reclaimableAllowed, index), false);
    }
    // All of them may be excluded or over the load bound. As some upstream is at or below the mean,
    // the walk ends soon.
    offerWalk(candidates, request, reclaimableAllowed, count, true);
  }

  /** Offers the upstreams in order from a random one, so that equal ones are chosen in turn. */
  private void offerWalk(
      Candidates candidates,
      RouteRequest request,
      boolean reclaimableAllowed,
      int count,
      boolean stopAtBest) {
    int start = count == 0 ? 0 : random.nextInt(count);
    for (int i = 0; i < count; i++) {
      if (stopAtBest && candidates.hasBest()) {
        return;
      }
      int index = (start + i) % count;
      candidates.offer(member(request, reclaimableAllowed, index), false);
    }
  }

  private UpstreamState member(RouteRequest request, boolean reclaimableAllowed, int index) {
    int remaining = index;
    for (Partition partition : partitions) {
      if (!partition.serves(request.minWeightVersion(), reclaimableAllowed)) {
        continue;
      }
      if (remaining < partition.size()) {
        return partition.get(remaining);
      }
      remaining -= partition.size();
    }
    throw new IndexOutOfBoundsException("index is " + index);
  }

  private void offerHolders(Candidates candidates, RouteRequest request) {
    if (request.group().isPresent()) {
      offerHolders(candidates, groupKey(request));
    }
    if (request.prefixHash().isPresent()) {
      offerHolders(candidates, request.prefixHash().get());
    }
  }

  private void offerHolders(Candidates candidates, long prefix) {
    for (int i = 0; i < PrefixIndex.MAX_HOLDERS; i++) {
      UpstreamState holder = prefixes.holder(prefix, i);
      if (holder != null) {
        candidates.offer(holder, false);
      }
    }
  }

  private void offerHome(Candidates candidates, RouteRequest request) {
    if (ring.size() == 0 || (request.group().isEmpty() && request.prefixHash().isEmpty())) {
      return;
    }
    long key = request.group().isPresent() ? groupKey(request) : request.prefixHash().get();
    int position = ring.position(key);
    for (int i = 0; i < Math.min(HOME_ATTEMPTS, ring.size()); i++) {
      UpstreamState owner = ring.owner(position + i);
      if (owner.partition() != null) {
        candidates.offer(owner, true);
        return;
      }
    }
  }

  private static long groupKey(RouteRequest request) {
    return HashRing.hash(request.group().orElseThrow());
  }

  /** Returns how much of the prompt the upstream is expected to have cached, from 0 to 1. */
  double reuseLikelihood(RouteRequest request, UpstreamState state, long nowMillis) {
    double likelihood = 0;
    if (request.group().isPresent()) {
      likelihood = prefixes.likelihood(groupKey(request), state, nowMillis);
    }
    if (request.prefixHash().isPresent()) {
      double byPrefix = prefixes.likelihood(request.prefixHash().get(), state, nowMillis);
      likelihood = Math.max(likelihood, byPrefix);
    }
    return likelihood;
  }

  void onDispatched(UpstreamState state, RouteRequest request, long nowMillis) {
    update(state, () -> state.onDispatched(request.work(), nowMillis));
    if (request.group().isPresent()) {
      prefixes.stored(groupKey(request), state, nowMillis);
    }
    if (request.prefixHash().isPresent()) {
      prefixes.stored(request.prefixHash().get(), state, nowMillis);
    }
  }

  void onFinished(UpstreamState state, RouteRequest request, long durationMillis, long nowMillis) {
    state.health().onSuccess();
    update(state, () -> state.onEnded(request.work(), nowMillis));
    serviceMillis += SERVICE_TIME_GAIN * (durationMillis / request.work() - serviceMillis);
  }

  void onFailed(UpstreamState state, RouteRequest request, long nowMillis) {
    update(state, () -> state.onEnded(request.work(), nowMillis));
    onUnreachable(state, nowMillis);
  }

  void onReleased(UpstreamState state, RouteRequest request, long nowMillis) {
    update(state, () -> state.onEnded(request.work(), nowMillis));
  }

  /** Counts a failed request or probe against the upstream. */
  void onUnreachable(UpstreamState state, long nowMillis) {
    // Where most upstreams fail, the cause is rarely theirs, and ejecting more would overload the
    // rest.
    boolean mayEject = ejected.size() < byId.size() / 2;
    boolean isEjected = state.health().onFailure(mayEject, nowMillis);
    place(state);
    if (isEjected && !state.leaving()) {
      ejected.add(state);
    }
  }

  private void readmit(long nowMillis) {
    while (!ejected.isEmpty() && ejected.peek().health().readmitAtMillis() <= nowMillis) {
      UpstreamState state = ejected.poll();
      state.health().readmit(nowMillis);
      place(state);
    }
  }

  void markLeaving(UpstreamState state) {
    state.markLeaving();
    ejected.remove(state);
    place(state);
  }

  void onLoadReport(UpstreamState state, LoadReport report, long nowMillis) {
    update(state, () -> state.onLoadReport(report, nowMillis));
    newestWeightVersion = Math.max(newestWeightVersion, state.weightVersion());
  }

  void onCacheEvents(UpstreamState state, List<CacheEvent> events, long nowMillis) {
    for (CacheEvent event : events) {
      state.onCacheEvent(event.sequence());
      if (event.type() == CacheEvent.Type.STORED) {
        prefixes.stored(event.prefixHash(), state, nowMillis);
      } else {
        prefixes.evicted(event.prefixHash(), state, nowMillis);
      }
    }
  }

  void onNothingCached(UpstreamState state, RouteRequest request) {
    if (request.prefixHash().isPresent()) {
      prefixes.absent(request.prefixHash().get(), state);
    }
  }
}
