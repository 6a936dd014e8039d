package io.briarward.experiments.control;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import io.briarward.core.capacity.CapacityPlanner;
import io.briarward.core.capacity.ListedUpstream;
import io.briarward.core.capacity.ListedUpstream.State;
import io.briarward.core.capacity.Market;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulates three data centres with a daily demand cycle, bursts, and reclaims of all reclaimable
 * upstreams of a data centre at once.
 *
 * <p>Work beyond a data centre's capacity goes to spare capacity in the others; work that exceeds
 * that too is unserved. Work on a reclaimed upstream is interrupted and counted.
 */
final class CapacitySimulation {
  static final long START_MILLIS = 60_000;
  static final int MAX_CONCURRENT = 16;
  static final int MAX_UPSTREAMS = 40;

  private static final long STEP_MILLIS = 1_000;
  private static final long PLAN_MILLIS = 5_000;
  private static final long DAY_MILLIS = 86_400_000;
  private static final long RECLAIM_IMPACT_MILLIS = 180_000;
  private static final double RECLAIMABLE_COST = 0.3;
  private static final double RECLAIMS_PER_DAY = 6;
  private static final double BURSTS_PER_DAY = 24;
  private static final long SHORTAGE_MILLIS = 900_000;
  private static final long BURST_MILLIS = 300_000;
  private static final double BURST_FACTOR = 1.5;

  private final Random random;
  private final CapacityPolicy policy;
  private final List<DataCentre> dataCentres = new ArrayList<>();
  private long nowMillis;
  private long upstreamIds;
  private double cost;
  private double demanded;
  private double served;
  private double servedOnReclaimable;
  private double interrupted;
  private double unservedAfterReclaim;
  private int reclaims;
  private long lastReclaimMillis = -RECLAIM_IMPACT_MILLIS;

  CapacitySimulation(long seed, CapacityPolicy policy) {
    this.random = new Random(seed);
    this.policy = policy;
    for (int i = 0; i < 3; i++) {
      dataCentres.add(new DataCentre("dc-" + i));
    }
  }

  /** Totals of a run; work is in request-seconds, cost in on-demand hours. */
  record Result(
      double cost,
      double demanded,
      double served,
      double servedOnReclaimable,
      double interrupted,
      double unservedAfterReclaim,
      int reclaims) {}

  private static final class SimulatedUpstream {
    private final String id;
    private final Market market;
    private final long startedMillis;

    SimulatedUpstream(String id, Market market, long startedMillis) {
      this.id = id;
      this.market = market;
      this.startedMillis = startedMillis;
    }

    private boolean serves(long nowMillis) {
      return nowMillis >= startedMillis + START_MILLIS;
    }

    private ListedUpstream toListedUpstream(long nowMillis) {
      return new ListedUpstream(
          id,
          id,
          "recipe-llm",
          market,
          serves(nowMillis) ? State.RUNNING : State.STARTING,
          "127.0.0.1",
          1,
          market == Market.ON_DEMAND ? 1 : RECLAIMABLE_COST);
    }
  }

  private static final class DataCentre {
    private final String id;
    private final List<SimulatedUpstream> upstreams = new ArrayList<>();
    private long burstUntilMillis;
    private long shortageUntilMillis;
    private double concurrent;
    private double spare;

    DataCentre(String id) {
      this.id = id;
    }

    private long serving(long nowMillis) {
      return upstreams.stream().filter(each -> each.serves(nowMillis)).count();
    }

    private double reclaimableShare(long nowMillis) {
      long reclaimable =
          upstreams.stream()
              .filter(each -> each.serves(nowMillis) && each.market == Market.RECLAIMABLE)
              .count();
      return reclaimable / Math.max(1.0, serving(nowMillis));
    }
  }

  Result run(int days) {
    for (nowMillis = 0; nowMillis < days * DAY_MILLIS; nowMillis += STEP_MILLIS) {
      for (DataCentre dataCentre : dataCentres) {
        dataCentre.concurrent = demand(dataCentre);
        reclaimAtRandom(dataCentre);
        if (nowMillis % PLAN_MILLIS == 0) {
          plan(dataCentre);
        }
      }
      serve();
    }
    return new Result(
        cost, demanded, served, servedOnReclaimable, interrupted, unservedAfterReclaim, reclaims);
  }

  private double demand(DataCentre dataCentre) {
    if (occurs(BURSTS_PER_DAY)) {
      dataCentre.burstUntilMillis = nowMillis + BURST_MILLIS;
    }
    double day = Math.sin(2 * Math.PI * nowMillis / DAY_MILLIS);
    double base = 70 + 45 * day;
    double burst = nowMillis < dataCentre.burstUntilMillis ? BURST_FACTOR : 1;
    return base * burst * (1 + 0.05 * random.nextGaussian());
  }

  private void reclaimAtRandom(DataCentre dataCentre) {
    if (!occurs(RECLAIMS_PER_DAY)) {
      return;
    }
    double share = dataCentre.reclaimableShare(nowMillis);
    interrupted += Math.min(dataCentre.concurrent, capacity(dataCentre)) * share;
    dataCentre.upstreams.removeIf(each -> each.market == Market.RECLAIMABLE);
    dataCentre.shortageUntilMillis = nowMillis + SHORTAGE_MILLIS;
    lastReclaimMillis = nowMillis;
    reclaims++;
  }

  private void plan(DataCentre dataCentre) {
    ImmutableList<ListedUpstream> upstreams =
        dataCentre.upstreams.stream()
            .map(each -> each.toListedUpstream(nowMillis))
            .collect(toImmutableList());
    boolean shortage = nowMillis < dataCentre.shortageUntilMillis;
    CapacityPlanner.Plan plan =
        policy.plan(
            dataCentre.id,
            nowMillis,
            dataCentre.concurrent,
            upstreams,
            market -> market == Market.ON_DEMAND || !shortage);
    start(dataCentre, Market.ON_DEMAND, plan.startOnDemand());
    start(dataCentre, Market.RECLAIMABLE, plan.startReclaimable());
    for (ListedUpstream stopped : plan.stop()) {
      dataCentre.upstreams.removeIf(each -> each.id.equals(stopped.id()));
    }
  }

  private void start(DataCentre dataCentre, Market market, int count) {
    for (int i = 0; i < count; i++) {
      upstreamIds++;
      dataCentre.upstreams.add(new SimulatedUpstream("u-" + upstreamIds, market, nowMillis));
    }
  }

  private void serve() {
    double seconds = STEP_MILLIS / 1_000.0;
    double unserved = 0;
    for (DataCentre dataCentre : dataCentres) {
      double capacity = capacity(dataCentre);
      double local = Math.min(dataCentre.concurrent, capacity);
      dataCentre.spare = capacity - local;
      unserved += dataCentre.concurrent - local;
      demanded += dataCentre.concurrent * seconds;
      addServed(dataCentre, local * seconds);
      cost += costPerHour(dataCentre) * seconds / 3_600;
    }
    for (DataCentre dataCentre : dataCentres) {
      double moved = Math.min(unserved, dataCentre.spare);
      unserved -= moved;
      addServed(dataCentre, moved * seconds);
    }
    if (nowMillis - lastReclaimMillis < RECLAIM_IMPACT_MILLIS) {
      unservedAfterReclaim += unserved * seconds;
    }
  }

  private void addServed(DataCentre dataCentre, double work) {
    served += work;
    servedOnReclaimable += work * dataCentre.reclaimableShare(nowMillis);
  }

  private double capacity(DataCentre dataCentre) {
    return dataCentre.serving(nowMillis) * (double) MAX_CONCURRENT;
  }

  private static double costPerHour(DataCentre dataCentre) {
    return dataCentre.upstreams.stream()
        .mapToDouble(each -> each.market == Market.ON_DEMAND ? 1 : RECLAIMABLE_COST)
        .sum();
  }

  private boolean occurs(double perDay) {
    return random.nextDouble() < perDay * STEP_MILLIS / DAY_MILLIS;
  }
}
