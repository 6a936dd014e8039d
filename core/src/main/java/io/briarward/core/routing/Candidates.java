package io.briarward.core.routing;

import java.util.Optional;

/**
 * Selects the candidate of one routing decision with the lowest expected cost in milliseconds.
 *
 * <p>The cost is the expected queueing and prefill time plus the penalties of the policy. Not
 * thread-safe.
 */
final class Candidates {
  /**
   * The least reuse probability assumed for the ring owner of a group or prefix, even if this node
   * has not sent the prompt there yet.
   */
  private static final double RING_OWNER_REUSE_PROBABILITY = 0.5;

  /** Ranks candidates that would miss the deadline after all that would meet it. */
  private static final double MISSED_DEADLINE_PENALTY_MILLIS = 1e9;

  private final DataCentrePool pool;
  private final RouteRequest request;
  private final boolean reclaimableAllowed;
  private final long nowMillis;
  private final double prefillMillis;
  private final double meanOthersOutstanding;
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
    double count = 0;
    double othersOutstanding = 0;
    double outstanding = 0;
    double slots = 0;
    for (Partition partition : pool.partitions()) {
      if (partition.canServe(request.minWeightVersion(), reclaimableAllowed)) {
        count += partition.size();
        othersOutstanding += partition.othersOutstanding();
        outstanding += partition.outstanding();
        slots += partition.slots();
      }
    }
    this.meanOthersOutstanding = count == 0 ? 0 : Math.max(0, othersOutstanding / count);
    this.meanUtilisation = slots == 0 ? 0 : (outstanding + request.work()) / slots;
  }

  /**
   * Considers a candidate if it is eligible; one above the load bound serves only as a fallback.
   */
  void offer(UpstreamState state, boolean isRingOwner) {
    if (!isEligible(state)) {
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
    double costMillis = waitMillis + prefillCostMillis(state, isRingOwner) + penaltyMillis(state);
    if (waitMillis > request.dueAtMillis() - nowMillis) {
      costMillis += MISSED_DEADLINE_PENALTY_MILLIS;
    }
    if (costMillis < bestCostMillis) {
      best = state;
      bestCostMillis = costMillis;
      bestWaitMillis = waitMillis;
    }
  }

  /** Returns whether an eligible candidate is within the load bound. */
  boolean hasBest() {
    return best != null;
  }

  /**
   * Returns the best candidate, the least loaded one if all exceed the load bound, or empty if none
   * is eligible.
   */
  Optional<UpstreamState> result() {
    return Optional.ofNullable(best != null ? best : leastLoaded);
  }

  /** Returns the expected wait at the best candidate, infinite if all exceed the load bound. */
  double waitMillis() {
    return best != null ? bestWaitMillis : Double.POSITIVE_INFINITY;
  }

  private boolean isEligible(UpstreamState state) {
    Partition partition = state.partition();
    return partition != null
        && partition.canServe(request.minWeightVersion(), reclaimableAllowed)
        && !request.excluded().contains(state.upstream().id());
  }

  /** Returns the highest utilisation allowed: a full batch, or a multiple of the mean if higher. */
  private double loadBound(UpstreamState state) {
    double oneRequest = request.work() / state.slots();
    return Math.max(1, pool.policy().loadFactor() * meanUtilisation + oneRequest);
  }

  private double waitMillisAt(UpstreamState state) {
    double outstanding =
        state.outstanding(meanOthersOutstanding, pool.policy().reportAgeScaleMillis(), nowMillis);
    double slots = state.slots();
    double queued = Math.max(0, outstanding + request.work() - slots);
    double batched = Math.min(1, outstanding / slots);
    double serviceTimes = queued / slots + pool.policy().batchSlowdown() * batched;
    return pool.serviceMillis() * serviceTimes;
  }

  private double prefillCostMillis(UpstreamState state, boolean isRingOwner) {
    if (prefillMillis == 0) {
      return 0;
    }
    double probability = pool.reuseProbability(request, state, nowMillis);
    double expectedReuse =
        isRingOwner ? Math.max(RING_OWNER_REUSE_PROBABILITY, probability) : probability;
    return prefillMillis * (1 - expectedReuse);
  }

  private double penaltyMillis(UpstreamState state) {
    double penaltyMillis = 0;
    if (!state.upstream().reclaimable() && reclaimableAllowed) {
      penaltyMillis += pool.policy().onDemandPenaltyMillis();
    }
    if (request.minWeightVersion() > 0) {
      long versionsBehind = pool.newestWeightVersion() - state.weightVersion();
      penaltyMillis += versionsBehind * pool.policy().stalePenaltyMillis();
    }
    return penaltyMillis;
  }
}
