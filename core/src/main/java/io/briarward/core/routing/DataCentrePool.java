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
  /** If more upstreams than this are eligible, a random sample is compared instead of all. */
  private static final int MAX_COMPARED_UPSTREAMS = 8;

  /** The number of ring points tried to find an owner that accepts new work. */
  private static final int RING_OWNER_ATTEMPTS = 8;

  private static final int MAX_TRACKED_PREFIXES = 16_384;
  private static final double INITIAL_SERVICE_MILLIS = 1_000;
  private static final double SERVICE_TIME_SMOOTHING = 0.05;

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
    this.prefixes = new PrefixIndex(MAX_TRACKED_PREFIXES, policy.prefixRetentionMillis());
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

  /** Replaces the upstreams, keeping the state of those whose entries are unchanged. */
  void replace(List<Upstream> upstreams) {
    Map<String, UpstreamState> next = new HashMap<>();
    for (Upstream upstream : upstreams) {
      UpstreamState known = byId.get(upstream.id());
      boolean unchanged = known != null && known.upstream().equals(upstream);
      next.put(upstream.id(), unchanged ? known : new UpstreamState(upstream));
    }
    for (UpstreamState old : byId.values()) {
      if (next.get(old.upstream().id()) != old) {
        markLeaving(old);
      }
    }
    byId = next;
    ring = HashRing.of(ImmutableList.copyOf(next.values()));
    next.values().forEach(this::updatePartition);
  }

  /**
   * Applies a change to an upstream and moves it to the partition that it belongs to afterwards.
   */
  void update(UpstreamState state, Runnable change) {
    if (state.partition() != null) {
      removeFromPartition(state);
    }
    change.run();
    updatePartition(state);
  }

  private void updatePartition(UpstreamState state) {
    if (state.partition() != null && !(state.canAccept() && state.partition().matches(state))) {
      removeFromPartition(state);
    }
    if (state.partition() == null && state.canAccept()) {
      partitionOf(state).add(state);
    }
  }

  private void removeFromPartition(UpstreamState state) {
    state.partition().remove(state);
  }

  private Partition partitionOf(UpstreamState state) {
    for (Partition partition : partitions) {
      if (partition.matches(state)) {
        return partition;
      }
    }
    partitions.removeIf(partition -> partition.size() == 0);
    Partition created = new Partition(state.upstream().reclaimable(), state.weightVersion());
    partitions.add(created);
    return created;
  }

  /** Returns the number of upstreams that accept new work and satisfy the given bounds. */
  int eligibleCount(long minWeightVersion, boolean reclaimableAllowed) {
    int count = 0;
    for (Partition partition : partitions) {
      if (partition.canServe(minWeightVersion, reclaimableAllowed)) {
        count += partition.size();
      }
    }
    return count;
  }

  /** Compares candidates for the request; the result is empty if no upstream can serve it. */
  Candidates choose(RouteRequest request, boolean reclaimableAllowed, long nowMillis) {
    readmit(nowMillis);
    Candidates candidates = new Candidates(this, request, reclaimableAllowed, nowMillis);
    int count = eligibleCount(request.minWeightVersion(), reclaimableAllowed);
    offerHolders(candidates, request);
    offerRingOwner(candidates, request);
    if (count <= MAX_COMPARED_UPSTREAMS) {
      offerInOrder(candidates, request, reclaimableAllowed, count, false);
    } else {
      offerRandomSamples(candidates, request, reclaimableAllowed, count);
    }
    return candidates;
  }

  private void offerRandomSamples(
      Candidates candidates, RouteRequest request, boolean reclaimableAllowed, int count) {
    for (int i = 0; i < policy.randomCandidates(); i++) {
      int index = random.nextInt(count);
      candidates.offer(eligibleAt(request, reclaimableAllowed, index), false);
    }
    // All samples may be excluded or exceed the load bound. As some upstream is at or below the
    // mean, a sequential search usually finds one after few steps.
    offerInOrder(candidates, request, reclaimableAllowed, count, true);
  }

  /** Offers eligible upstreams in order from a random start, so that ties vary between calls. */
  private void offerInOrder(
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
      candidates.offer(eligibleAt(request, reclaimableAllowed, index), false);
    }
  }

  private UpstreamState eligibleAt(RouteRequest request, boolean reclaimableAllowed, int index) {
    int remaining = index;
    for (Partition partition : partitions) {
      if (!partition.canServe(request.minWeightVersion(), reclaimableAllowed)) {
        continue;
      }
      if (remaining < partition.size()) {
        return partition.get(remaining);
      }
      remaining -= partition.size();
    }
    throw new IndexOutOfBoundsException(
        "index is " + index + ", expected less than the number of eligible upstreams");
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

  private void offerRingOwner(Candidates candidates, RouteRequest request) {
    if (ring.size() == 0 || (request.group().isEmpty() && request.prefixHash().isEmpty())) {
      return;
    }
    long key = request.group().isPresent() ? groupKey(request) : request.prefixHash().get();
    int firstIndex = ring.successorIndex(key);
    for (int i = 0; i < Math.min(RING_OWNER_ATTEMPTS, ring.size()); i++) {
      UpstreamState owner = ring.ownerAt(firstIndex + i);
      if (owner.partition() != null) {
        candidates.offer(owner, true);
        return;
      }
    }
  }

  private static long groupKey(RouteRequest request) {
    return HashRing.hash(request.group().orElseThrow());
  }

  /** Returns the probability that the upstream has the prompt's prefix cached, from 0 to 1. */
  double reuseProbability(RouteRequest request, UpstreamState state, long nowMillis) {
    double probability = 0;
    if (request.group().isPresent()) {
      probability = prefixes.probability(groupKey(request), state, nowMillis);
    }
    if (request.prefixHash().isPresent()) {
      double prefixProbability = prefixes.probability(request.prefixHash().get(), state, nowMillis);
      probability = Math.max(probability, prefixProbability);
    }
    return probability;
  }

  void onDispatched(UpstreamState state, RouteRequest request, long nowMillis) {
    update(state, () -> state.onDispatched(request.work(), nowMillis));
    if (request.group().isPresent()) {
      prefixes.onStored(groupKey(request), state, nowMillis);
    }
    if (request.prefixHash().isPresent()) {
      prefixes.onStored(request.prefixHash().get(), state, nowMillis);
    }
  }

  void onFinished(UpstreamState state, RouteRequest request, long durationMillis, long nowMillis) {
    state.health().onSuccess();
    update(state, () -> state.onEnded(request.work(), nowMillis));
    serviceMillis += SERVICE_TIME_SMOOTHING * (durationMillis / request.work() - serviceMillis);
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
    // At most half of the upstreams are ejected: if more fail, the cause is rarely the upstreams
    // themselves, and ejecting more of them would overload the rest.
    boolean mayEject = ejected.size() < byId.size() / 2;
    boolean isEjected = state.health().onFailure(mayEject, nowMillis);
    updatePartition(state);
    if (isEjected && !state.leaving()) {
      ejected.add(state);
    }
  }

  private void readmit(long nowMillis) {
    while (!ejected.isEmpty() && ejected.peek().health().readmitAtMillis() <= nowMillis) {
      UpstreamState state = ejected.poll();
      state.health().readmit(nowMillis);
      updatePartition(state);
    }
  }

  void markLeaving(UpstreamState state) {
    state.setLeaving(true);
    ejected.remove(state);
    updatePartition(state);
  }

  void unmarkLeaving(UpstreamState state) {
    state.setLeaving(false);
    if (state.health().isEjected() && !ejected.contains(state)) {
      ejected.add(state); // It failed while it left, when it was not to be readmitted.
    }
    updatePartition(state);
  }

  void onLoadReport(UpstreamState state, LoadReport report, long nowMillis) {
    update(state, () -> state.onLoadReport(report, nowMillis));
    newestWeightVersion = Math.max(newestWeightVersion, state.weightVersion());
  }

  void onCacheEvents(UpstreamState state, List<CacheEvent> events, long nowMillis) {
    for (CacheEvent event : events) {
      state.onCacheEvent(event.sequence());
      if (event.type() == CacheEvent.Type.STORED) {
        prefixes.onStored(event.prefixHash(), state, nowMillis);
      } else {
        prefixes.onEvicted(event.prefixHash(), state, nowMillis);
      }
    }
  }

  void onNothingCached(UpstreamState state, RouteRequest request) {
    if (request.prefixHash().isPresent()) {
      prefixes.onMiss(request.prefixHash().get(), state);
    }
  }
}
