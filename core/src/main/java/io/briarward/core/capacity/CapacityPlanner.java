package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Plans which upstreams of a service to start and stop in one data centre.
 *
 * <p>Capacity is increased as soon as the forecast rises, and reduced only to the largest recent
 * forecast. Reclaimable upstreams are limited to the share of the work allowed on them, and replace
 * on-demand upstreams only once they run. Immutable and thread-safe.
 */
public final class CapacityPlanner {
  private static final double TARGET_UTILISATION = 0.75;

  private final double targetUtilisation;

  private CapacityPlanner(double targetUtilisation) {
    this.targetUtilisation = targetUtilisation;
  }

  /** Creates a planner with the default target utilisation. */
  public static CapacityPlanner create() {
    return create(TARGET_UTILISATION);
  }

  /**
   * Creates a planner with the given target utilisation.
   *
   * @param targetUtilisation the planned share of an upstream's maximum concurrency, above 0 to 1
   */
  public static CapacityPlanner create(double targetUtilisation) {
    checkArgument(
        targetUtilisation > 0 && targetUtilisation <= 1,
        "targetUtilisation is %s, expected above 0 to 1",
        targetUtilisation);
    return new CapacityPlanner(targetUtilisation);
  }

  /**
   * The planned changes for one service.
   *
   * @param startOnDemand the number of on-demand upstreams to start
   * @param startReclaimable the number of reclaimable upstreams to start
   * @param stop the upstreams to drain and stop
   * @param unmet the number of missing upstreams that cannot be ordered in this data centre
   */
  public record Plan(
      int startOnDemand, int startReclaimable, ImmutableList<ListedUpstream> stop, int unmet) {}

  /**
   * Returns the plan for a service.
   *
   * @param need the need of the service
   * @param upstreams the service's upstreams that are neither stopping nor being drained
   * @param isOpen whether upstreams may currently be ordered on a market
   */
  public Plan plan(
      ServiceNeed need, ImmutableList<ListedUpstream> upstreams, Predicate<Market> isOpen) {
    List<ListedUpstream> usable =
        upstreams.stream().filter(ListedUpstream::counts).collect(toImmutableList());
    int required = requiredCount(need, need.forecastConcurrent());
    int retained = Math.max(required, requiredCount(need, need.heldConcurrent()));
    int reclaimableLimit = reclaimableLimit(need, required);
    int reclaimable = count(usable, Market.RECLAIMABLE, false);
    int onDemand = count(usable, Market.ON_DEMAND, false);

    int startReclaimable =
        isOpen.test(Market.RECLAIMABLE) ? Math.max(0, reclaimableLimit - reclaimable) : 0;
    startReclaimable = Math.min(startReclaimable, Math.max(0, need.max() - usable.size()));
    int planned = reclaimable + startReclaimable;
    int missing = Math.max(0, required - onDemand - Math.min(planned, reclaimableLimit));
    int available = Math.max(0, need.max() - onDemand - planned);
    int startOnDemand = isOpen.test(Market.ON_DEMAND) ? Math.min(missing, available) : 0;
    return new Plan(
        startOnDemand,
        startReclaimable,
        surplus(need, usable, retained),
        Math.max(0, missing - startOnDemand));
  }

  /**
   * Returns the number of upstreams needed for the given concurrent requests, within the limits.
   */
  private int requiredCount(ServiceNeed need, double concurrent) {
    double perUpstream = need.maxConcurrent() * targetUtilisation;
    int count = (int) Math.ceil(concurrent / perUpstream);
    return Math.max(need.min(), Math.min(need.max(), count));
  }

  private static int reclaimableLimit(ServiceNeed need, int required) {
    return (int) Math.floor(required * need.reclaimableShare());
  }

  private static ImmutableList<ListedUpstream> surplus(
      ServiceNeed need, List<ListedUpstream> usable, int retained) {
    int retainedReclaimable = reclaimableLimit(need, retained);
    int running = count(usable, Market.RECLAIMABLE, true);
    int retainedOnDemand = retained - Math.min(running, retainedReclaimable);
    return ImmutableList.<ListedUpstream>builder()
        .addAll(surplusOf(usable, Market.RECLAIMABLE, retainedReclaimable))
        .addAll(surplusOf(usable, Market.ON_DEMAND, retainedOnDemand))
        .build();
  }

  /** Returns the upstreams to stop: first those that do not serve yet, then the most expensive. */
  private static ImmutableList<ListedUpstream> surplusOf(
      List<ListedUpstream> usable, Market market, int retained) {
    Comparator<ListedUpstream> order =
        Comparator.comparing((ListedUpstream upstream) -> upstream.state())
            .thenComparing(Comparator.comparingDouble(ListedUpstream::costPerHour).reversed())
            .thenComparing(ListedUpstream::id);
    int surplus = Math.max(0, count(usable, market, false) - retained);
    return usable.stream()
        .filter(upstream -> upstream.market() == market)
        .sorted(order)
        .limit(surplus)
        .collect(toImmutableList());
  }

  private static int count(List<ListedUpstream> upstreams, Market market, boolean runningOnly) {
    ImmutableSet<ListedUpstream.State> states =
        runningOnly
            ? ImmutableSet.of(ListedUpstream.State.RUNNING)
            : ImmutableSet.copyOf(ListedUpstream.State.values());
    return (int)
        upstreams.stream()
            .filter(upstream -> upstream.market() == market && states.contains(upstream.state()))
            .count();
  }
}
