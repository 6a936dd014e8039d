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

  /** What is assumed of a data centre that has not reported its load. */
  private static final double UNKNOWN_UTILISATION = 0.5;

  private final String localDataCentre;
  private final RoutingPolicy policy;
  private final RandomGenerator random;
  private final DataCentrePool local;
  private final Map<String, RemoteDataCentre> remotes = new HashMap<>();
  private final ShareMeter spilled = new ShareMeter();

  ServicePool(String localDataCentre, RoutingPolicy policy, RandomGenerator random) {
    this.localDataCentre = localDataCentre;
    this.policy = policy;
    this.random = random;
    this.local = new DataCentrePool(policy, random);
  }

  /** An upstream and the pool that knows it. */
  record Located(DataCentrePool pool, UpstreamState state) {}

  void replace(List<Upstream> upstreams) {
    Map<String, List<Upstream>> byDataCentre = new HashMap<>();
    for (Upstream upstream : upstreams) {
      byDataCentre.computeIfAbsent(upstream.dataCentre(), id -> new ArrayList<>()).add(upstream);
    }
    local.replace(byDataCentre.getOrDefault(localDataCentre, List.of()));
    byDataCentre.remove(localDataCentre);
    Set<String> gone = new HashSet<>(remotes.keySet());
    gone.removeAll(byDataCentre.keySet());
    for (String dataCentre : gone) {
      remotes.remove(dataCentre).pool.replace(List.of());
    }
    byDataCentre.forEach((dataCentre, members) -> remote(dataCentre).pool.replace(members));
  }

  private RemoteDataCentre remote(String dataCentre) {
    return remotes.computeIfAbsent(
        dataCentre, id -> new RemoteDataCentre(new DataCentrePool(policy, random)));
  }

  Optional<Located> locate(String upstreamId) {
    Optional<UpstreamState> here = local.state(upstreamId);
    if (here.isPresent()) {
      return Optional.of(new Located(local, here.get()));
    }
    for (RemoteDataCentre remote : remotes.values()) {
      Optional<UpstreamState> there = remote.pool.state(upstreamId);
      if (there.isPresent()) {
        return Optional.of(new Located(remote.pool, there.get()));
      }
    }
    return Optional.empty();
  }

  /** Chooses an upstream, of the local data centre unless it has none or its queue is too long. */
  Optional<Located> choose(RouteRequest request, boolean reclaimableAllowed, long nowMillis) {
    Candidates candidates = local.choose(request, reclaimableAllowed, nowMillis);
    Optional<UpstreamState> here = candidates.result();
    double remainingMillis = request.dueAtMillis() - nowMillis;
    double toleratedMillis = Math.min(policy.spillThresholdMillis(), remainingMillis);
    boolean soonEnough = here.isPresent() && candidates.waitMillis() <= toleratedMillis;
    boolean maySpill =
        here.isEmpty() || spilled.allows(request.work(), policy.spillShare(), nowMillis);
    Optional<Located> there =
        soonEnough || !maySpill
            ? Optional.empty()
            : chooseRemote(request, reclaimableAllowed, nowMillis);
    Optional<Located> chosen =
        there.isPresent() ? there : here.map(state -> new Located(local, state));
    chosen.ifPresent(at -> spilled.record(request.work(), at.pool != local, nowMillis));
    return chosen;
  }

  private Optional<Located> chooseRemote(
      RouteRequest request, boolean reclaimableAllowed, long nowMillis) {
    RemoteDataCentre best = null;
    for (RemoteDataCentre remote : remotes.values()) {
      boolean usable =
          remote.serves(request.minWeightVersion())
              && remote.utilisation() < policy.spillUtilisation()
              && remote.pool.count(0, reclaimableAllowed) > 0;
      if (usable && (best == null || remote.utilisation() < best.utilisation())) {
        best = remote;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    DataCentrePool pool = best.pool;
    // The aggregate vouches for the weight versions, which are not known upstream by upstream.
    RouteRequest anyVersion = request.toBuilder().minWeightVersion(0).build();
    return pool.choose(anyVersion, reclaimableAllowed, nowMillis)
        .result()
        .map(state -> new Located(pool, state));
  }

  /** Returns why no upstream was found for the request. */
  RouteResult.Refused refusal(RouteRequest request, boolean reclaimableAllowed) {
    boolean olderOnly = local.count(0, reclaimableAllowed) > 0 && request.minWeightVersion() > 0;
    boolean onlyExcluded = local.count(request.minWeightVersion(), reclaimableAllowed) > 0;
    ErrorKind kind = olderOnly && !onlyExcluded ? ErrorKind.STALE_BOUND : ErrorKind.NO_UPSTREAM;
    return new RouteResult.Refused(kind, RETRY_AFTER_MILLIS);
  }

  void onDataCentreLoad(DataCentreLoad load) {
    RemoteDataCentre remote = remotes.get(load.dataCentre());
    if (remote != null) {
      remote.onLoad(load);
    }
  }

  /** Returns the aggregate of the local data centre, as sent to nodes in others. */
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

  /** Another data centre: its upstreams and what it last told of them as a whole. */
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

    boolean serves(long minWeightVersion) {
      long known = load.map(DataCentreLoad::minWeightVersion).orElse(0L);
      return known >= minWeightVersion;
    }

    /** Counts own requests in full, since the aggregate may be older than they are. */
    double utilisation() {
      double own = 0;
      double slots = 0;
      for (Partition partition : pool.partitions()) {
        own += partition.outstanding();
        slots += partition.slots();
      }
      double reported =
          load.map(each -> ratio(each.outstanding(), each.slots())).orElse(UNKNOWN_UTILISATION);
      return reported + ratio(own, load.map(DataCentreLoad::slots).orElse(slots));
    }

    private static double ratio(double outstanding, double slots) {
      return slots <= 0 ? 1 : outstanding / slots;
    }
  }
}
