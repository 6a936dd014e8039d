package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Decides which upstreams of a service to start and stop in one data centre.
 *
 * <p>Capacity rises as soon as the forecast does, and falls only to the largest forecast of the
 * recent past. Reclaimable upstreams make up at most the share of the work allowed on them, and
 * on-demand ones are given up for them only once they run. Immutable and thread-safe.
 */
public final class CapacityPlanner {
  private static final double TARGET_UTILISATION = 0.75;

  private final double targetUtilisation;

  private CapacityPlanner(double targetUtilisation) {
    this.targetUtilisation = targetUtilisation;
  }

  /** Returns a planner with the utilisation aimed at in production. */
  public static CapacityPlanner create() {
    return create(TARGET_UTILISATION);
  }

  /**
   * Returns a planner.
   *
   * @param targetUtilisation the share of an upstream's concurrency to plan with, above 0 to 1
   */
  public static CapacityPlanner create(double targetUtilisation) {
    checkArgument(
        targetUtilisation > 0 && targetUtilisation <= 1,
        "targetUtilisation is %s, expected above 0 to 1",
        targetUtilisation);
    return new CapacityPlanner(targetUtilisation);
  }

  /**
   * What to do for one service.
   *
   * @param startOnDemand how many on-demand upstreams to start
   * @param startReclaimable how many reclaimable upstreams to start
   * @param stop the upstreams to drain and stop
   * @param unmet how many upstreams are missing and cannot be ordered here
   */
  public record Plan(
      int startOnDemand, int startReclaimable, ImmutableList<RunningUpstream> stop, int unmet) {}

  /**
   * Returns the plan.
   *
   * @param upstreams the service's upstreams that are neither stopping nor being drained
   * @param open whether a market may be ordered on at present
   */
  public Plan plan(
      ServiceNeed need, ImmutableList<RunningUpstream> upstreams, Predicate<Market> open) {
    List<RunningUpstream> usable =
        upstreams.stream().filter(RunningUpstream::counts).collect(toImmutableList());
    int wanted = needed(need, need.forecastConcurrent());
    int kept = Math.max(wanted, needed(need, need.heldConcurrent()));
    int reclaimableLimit = reclaimableLimit(need, wanted);
    int reclaimable = count(usable, Market.RECLAIMABLE, false);
    int onDemand = count(usable, Market.ON_DEMAND, false);

    int startReclaimable =
        open.test(Market.RECLAIMABLE) ? Math.max(0, reclaimableLimit - reclaimable) : 0;
    startReclaimable = Math.min(startReclaimable, Math.max(0, need.max() - usable.size()));
    int planned = reclaimable + startReclaimable;
    int missing = Math.max(0, wanted - onDemand - Math.min(planned, reclaimableLimit));
    int room = Math.max(0, need.max() - onDemand - planned);
    int startOnDemand = open.test(Market.ON_DEMAND) ? Math.min(missing, room) : 0;
    return new Plan(
        startOnDemand,
        startReclaimable,
        surplus(need, usable, kept),
        Math.max(0, missing - startOnDemand));
  }

  /** Returns how many upstreams carry the given concurrent requests. */
  private int needed(ServiceNeed need, double concurrent) {
    double perUpstream = need.maxConcurrent() * targetUtilisation;
    int count = (int) Math.ceil(concurrent / perUpstream);
    return Math.max(need.min(), Math.min(need.max(), count));
  }

  private static int reclaimableLimit(ServiceNeed need, int wanted) {
    return (int) Math.floor(wanted * need.reclaimableShare());
  }

  private static ImmutableList<RunningUpstream> surplus(
      ServiceNeed need, List<RunningUpstream> usable, int kept) {
    int reclaimableKept = reclaimableLimit(need, kept);
    int running = count(usable, Market.RECLAIMABLE, true);
    int onDemandKept = kept - Math.min(running, reclaimableKept);
    return ImmutableList.<RunningUpstream>builder()
        .addAll(beyond(usable, Market.RECLAIMABLE, reclaimableKept))
        .addAll(beyond(usable, Market.ON_DEMAND, onDemandKept))
        .build();
  }

  /** Returns those to give up: first the ones that do not serve yet, then the most expensive. */
  private static ImmutableList<RunningUpstream> beyond(
      List<RunningUpstream> usable, Market market, int kept) {
    Comparator<RunningUpstream> order =
        Comparator.comparing((RunningUpstream each) -> each.state())
            .thenComparing(Comparator.comparingDouble(RunningUpstream::costPerHour).reversed())
            .thenComparing(RunningUpstream::id);
    int surplus = Math.max(0, count(usable, market, false) - kept);
    return usable.stream()
        .filter(each -> each.market() == market)
        .sorted(order)
        .limit(surplus)
        .collect(toImmutableList());
  }

  private static int count(List<RunningUpstream> upstreams, Market market, boolean running) {
    ImmutableSet<RunningUpstream.State> states =
        running
            ? ImmutableSet.of(RunningUpstream.State.RUNNING)
            : ImmutableSet.copyOf(RunningUpstream.State.values());
    return (int)
        upstreams.stream()
            .filter(each -> each.market() == market && states.contains(each.state()))
            .count();
  }
}
