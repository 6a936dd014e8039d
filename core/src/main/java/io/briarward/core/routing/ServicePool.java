package io.briarward.core.routing;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.errors.ErrorKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The upstreams of one service in all data centres. Not thread-safe. */
final class ServicePool {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** The utilisation assumed for a data centre that has not reported its load. */
  private static final double ASSUMED_UTILISATION = 0.5;

  private final String localDataCentre;
  private final RoutingPolicy policy;
  private final RandomGenerator random;
  private final DataCentrePool local;
  private final Map<String, RemoteDataCentre> remotes = new HashMap<>();
  private final ShareMeter remoteShare = new ShareMeter();

  ServicePool(String localDataCentre, RoutingPolicy policy, RandomGenerator random) {
    this.localDataCentre = localDataCentre;
    this.policy = policy;
    this.random = random;
    this.local = new DataCentrePool(policy, random);
  }

  /** The state of an upstream and the pool that contains it. */
  record Located(DataCentrePool pool, UpstreamState state) {}

  void replace(List<Upstream> upstreams) {
    Map<String, List<Upstream>> byDataCentre = new HashMap<>();
    for (Upstream upstream : upstreams) {
      byDataCentre.computeIfAbsent(upstream.dataCentre(), id -> new ArrayList<>()).add(upstream);
    }
    local.replace(byDataCentre.getOrDefault(localDataCentre, List.of()));
    byDataCentre.remove(localDataCentre);
    Set<String> removed = new HashSet<>(remotes.keySet());
    removed.removeAll(byDataCentre.keySet());
    for (String dataCentre : removed) {
      remotes.remove(dataCentre).pool.replace(List.of());
    }
    byDataCentre.forEach((dataCentre, members) -> remote(dataCentre).pool.replace(members));
  }

  private RemoteDataCentre remote(String dataCentre) {
    return remotes.computeIfAbsent(
        dataCentre, id -> new RemoteDataCentre(new DataCentrePool(policy, random)));
  }

  Optional<Located> locate(String upstreamId) {
    Optional<UpstreamState> localState = local.state(upstreamId);
    if (localState.isPresent()) {
      return Optional.of(new Located(local, localState.get()));
    }
    for (RemoteDataCentre remote : remotes.values()) {
      Optional<UpstreamState> remoteState = remote.pool.state(upstreamId);
      if (remoteState.isPresent()) {
        return Optional.of(new Located(remote.pool, remoteState.get()));
      }
    }
    return Optional.empty();
  }

  /**
   * Chooses an upstream, preferring the local data centre.
   *
   * <p>A remote upstream is considered only if no local one is eligible, or if the expected local
   * wait is too long and the share of remote work is within its limit.
   */
  Optional<Located> choose(RouteRequest request, boolean reclaimableAllowed, long nowMillis) {
    Candidates candidates = local.choose(request, reclaimableAllowed, nowMillis);
    Optional<UpstreamState> localChoice = candidates.result();
    double remainingMillis = request.dueAtMillis() - nowMillis;
    double maxWaitMillis = Math.min(policy.spillThresholdMillis(), remainingMillis);
    boolean isWaitAcceptable = localChoice.isPresent() && candidates.waitMillis() <= maxWaitMillis;
    boolean canSendRemote =
        localChoice.isEmpty() || remoteShare.canAdd(request.work(), policy.spillShare(), nowMillis);
    Optional<Located> remoteChoice =
        isWaitAcceptable || !canSendRemote
            ? Optional.empty()
            : chooseRemote(request, reclaimableAllowed, nowMillis);
    Optional<Located> chosen =
        remoteChoice.isPresent()
            ? remoteChoice
            : localChoice.map(state -> new Located(local, state));
    chosen.ifPresent(
        located -> remoteShare.record(request.work(), located.pool != local, nowMillis));
    return chosen;
  }

  private Optional<Located> chooseRemote(
      RouteRequest request, boolean reclaimableAllowed, long nowMillis) {
    RemoteDataCentre best = null;
    for (RemoteDataCentre remote : remotes.values()) {
      boolean isUsable =
          remote.canServe(request.minWeightVersion())
              && remote.utilisation() < policy.spillUtilisation()
              && remote.pool.eligibleCount(0, reclaimableAllowed) > 0;
      if (isUsable && (best == null || remote.utilisation() < best.utilisation())) {
        best = remote;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    DataCentrePool pool = best.pool;
    // Weight versions of remote upstreams are not tracked individually; the aggregate load has
    // been checked against the minimum version instead.
    RouteRequest anyVersion = request.toBuilder().minWeightVersion(0).build();
    return pool.choose(anyVersion, reclaimableAllowed, nowMillis)
        .result()
        .map(state -> new Located(pool, state));
  }

  /** Returns the rejection of a request for which no upstream was found. */
  RouteResult.Rejected rejection(RouteRequest request, boolean reclaimableAllowed) {
    boolean hasAnyVersion =
        local.eligibleCount(0, reclaimableAllowed) > 0 && request.minWeightVersion() > 0;
    boolean hasRequiredVersion =
        local.eligibleCount(request.minWeightVersion(), reclaimableAllowed) > 0;
    ErrorKind kind =
        hasAnyVersion && !hasRequiredVersion ? ErrorKind.STALE_BOUND : ErrorKind.NO_UPSTREAM;
    return new RouteResult.Rejected(kind, RETRY_AFTER_MILLIS);
  }

  void onDataCentreLoad(DataCentreLoad load) {
    RemoteDataCentre remote = remotes.get(load.dataCentre());
    if (remote != null) {
      remote.onLoad(load);
    }
  }

  /**
   * Returns the aggregate load of the local upstreams that accept new work, as sent to nodes in
   * other data centres.
   */
  DataCentreLoad localLoad(long nowMillis) {
    double outstanding = 0;
    double slots = 0;
    long minWeightVersion = Long.MAX_VALUE;
    for (Partition partition : local.partitions()) {
      if (partition.size() > 0) {
        outstanding += partition.outstanding();
        slots += partition.slots();
        minWeightVersion = Math.min(minWeightVersion, partition.weightVersion());
      }
    }
    long version = slots == 0 ? 0 : minWeightVersion;
    return new DataCentreLoad(
        localDataCentre, Math.max(0, outstanding), Math.max(0, slots), version, nowMillis);
  }

  ImmutableSet<String> localIds() {
    return ImmutableSet.copyOf(local.ids());
  }

  /** The upstreams of another data centre and its last reported aggregate load. */
  private static final class RemoteDataCentre {
    private final DataCentrePool pool;
    private Optional<DataCentreLoad> load = Optional.empty();

    RemoteDataCentre(DataCentrePool pool) {
      this.pool = pool;
    }

    void onLoad(DataCentreLoad next) {
      if (load.isEmpty() || next.measuredAtMillis() >= load.get().measuredAtMillis()) {
        load = Optional.of(next);
      }
    }

    boolean canServe(long minWeightVersion) {
      long servedVersion = load.map(DataCentreLoad::minWeightVersion).orElse(0L);
      return servedVersion >= minWeightVersion;
    }

    /**
     * Returns the reported utilisation plus that of this node's requests.
     *
     * <p>This node's requests are added in full, as the aggregate may predate them.
     */
    double utilisation() {
      double ownOutstanding = 0;
      double slots = 0;
      for (Partition partition : pool.partitions()) {
        ownOutstanding += partition.outstanding();
        slots += partition.slots();
      }
      double reported =
          load.map(last -> ratio(last.outstanding(), last.slots())).orElse(ASSUMED_UTILISATION);
      return reported + ratio(ownOutstanding, load.map(DataCentreLoad::slots).orElse(slots));
    }

    private static double ratio(double outstanding, double slots) {
      return slots <= 0 ? 1 : outstanding / slots;
    }
  }
}
