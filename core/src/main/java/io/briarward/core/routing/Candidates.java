package io.briarward.core.routing;

import java.util.Optional;

/** Compares the candidates of one decision by the expected time to an answer. Not thread-safe. */
final class Candidates {
  /** How likely the home of a group is taken to have its prompt before this node has sent one. */
  private static final double HOME_LIKELIHOOD = 0.5;

  /** A candidate that would miss the due time comes after every one that would not. */
  private static final double LATE_PENALTY_MILLIS = 1e9;

  private final DataCentrePool pool;
  private final RouteRequest request;
  private final boolean reclaimableAllowed;
  private final long nowMillis;
  private final double prefillMillis;
  private final double meanOthers;
  private final double meanUtilisation;

  private UpstreamState best;
  private double bestCostMillis = Double.POSITIVE_INFINITY;
  private double bestWaitMillis;
  private UpstreamState leastLoaded;
  private double leastUtilisation = Double.POSITIVE_INFINITY;

  Candidates(
      DataCentrePool pool, RouteRequest request, boolean reclaimableAllowed, long nowMillis) {
    this.pool = pool;
    this.request = request;
    this.reclaimableAllowed = reclaimableAllowed;
    this.nowMillis = nowMillis;
    this.prefillMillis = request.promptTokens() * 1_000.0 / pool.policy().prefillTokensPerSecond();
    double size = 0;
    double others = 0;
    double outstanding = 0;
    double slots = 0;
    for (Partition partition : pool.partitions()) {
      if (partition.serves(request.minWeightVersion(), reclaimableAllowed)) {
        size += partition.size();
        others += partition.others();
        outstanding += partition.outstanding();
        slots += partition.slots();
      }
    }
    this.meanOthers = size == 0 ? 0 : Math.max(0, others / size);
    this.meanUtilisation = slots == 0 ? 0 : (outstanding + request.work()) / slots;
  }

  /** Weighs a candidate, unless it may not serve the request or is over the load bound. */
  void offer(UpstreamState state, boolean home) {
    if (!eligible(state)) {
      return;
    }
    double utilisation = (state.outstanding() + request.work()) / state.slots();
    if (utilisation < leastUtilisation) {
      leastLoaded = state;
      leastUtilisation = utilisation;
    }
    if (utilisation > loadBound(state)) {
      return;
    }
    double waitMillis = waitMillisAt(state);
    double costMillis = waitMillis + prefillCostMillis(state, home) + penaltyMillis(state);
    if (waitMillis > request.dueAtMillis() - nowMillis) {
      costMillis += LATE_PENALTY_MILLIS;
    }
    if (costMillis < bestCostMillis) {
      best = state;
      bestCostMillis = costMillis;
      bestWaitMillis = waitMillis;
    }
  }

  /** Returns whether some candidate satisfies the load bound. */
  boolean hasBest() {
    return best != null;
  }

  /** Returns the best candidate, or the least loaded where all are over the load bound. */
  Optional<UpstreamState> result() {
    return Optional.ofNullable(best != null ? best : leastLoaded);
  }

  /** Returns how long the queue of the result is expected to take, in milliseconds. */
  double waitMillis() {
    return best != null ? bestWaitMillis : Double.POSITIVE_INFINITY;
  }

  private boolean eligible(UpstreamState state) {
    Partition partition = state.partition();
    return partition != null
        && partition.serves(request.minWeightVersion(), reclaimableAllowed)
        && !request.excluded().contains(state.upstream().id());
  }

  /** Allows a full batch in any case, and otherwise a bounded multiple of the mean. */
  private double loadBound(UpstreamState state) {
    double oneRequest = request.work() / state.slots();
    return Math.max(1, pool.policy().loadFactor() * meanUtilisation + oneRequest);
  }

  private double waitMillisAt(UpstreamState state) {
    double outstanding =
        state.outstanding(meanOthers, pool.policy().reportAgeScaleMillis(), nowMillis);
    double slots = state.slots();
    double queued = Math.max(0, outstanding + request.work() - slots);
    double batched = Math.min(1, outstanding / slots);
    double perRequest = queued / slots + pool.policy().batchSlowdown() * batched;
    return pool.serviceMillis() * perRequest;
  }

  private double prefillCostMillis(UpstreamState state, boolean home) {
    if (prefillMillis == 0) {
      return 0;
    }
    double likelihood = pool.reuseLikelihood(request, state, nowMillis);
    double expected = home ? Math.max(HOME_LIKELIHOOD, likelihood) : likelihood;
    return prefillMillis * (1 - expected);
  }

  private double penaltyMillis(UpstreamState state) {
    double penaltyMillis = 0;
    if (!state.upstream().reclaimable() && reclaimableAllowed) {
      penaltyMillis += pool.policy().onDemandPenaltyMillis();
    }
    if (request.minWeightVersion() > 0) {
      long behind = pool.newestWeightVersion() - state.weightVersion();
      penaltyMillis += behind * pool.policy().stalePenaltyMillis();
    }
    return penaltyMillis;
  }
}
