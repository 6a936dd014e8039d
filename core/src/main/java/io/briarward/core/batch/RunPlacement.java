package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import io.briarward.core.fleet.ServiceLoad;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * Chooses the sampler on which a run is expected to end soonest.
 *
 * <p>Long runs take most of a batch's time, so the time between events counts more than a free
 * slot. A sampler whose memory is too small for the expected outputs is avoided, since it would
 * preempt runs. Samplers are compared by the time between the events that they recently sent to
 * this node. Not thread-safe.
 */
public final class RunPlacement {
  /**
   * The weight of the newest event gap in the moving average; a busy sampler sends about 300 events
   * per second.
   */
  private static final double EVENT_GAP_WEIGHT = 0.01;

  /**
   * The longest event gap that is included in the moving average; several times the gap of a slow
   * sampler. Longer gaps are caused by weight loading or a preempted run.
   */
  private static final long MAX_GAP_MILLIS = 400;

  /** The relative increase of the time per token on a fully loaded sampler over an idle one. */
  private static final double FULL_LOAD_SLOWDOWN = 0.3;

  /**
   * The factor by which another sampler must be faster for a run to move; above the noise of the
   * average.
   */
  private static final double MOVE_SPEEDUP = 1.2;

  /**
   * The share of used slots from which a sampler takes no moved runs, since they would slow down
   * its other runs.
   */
  private static final double MOVE_MAX_LOAD = 0.5;

  private final Map<String, SamplerStats> statsBySampler = new HashMap<>();

  private RunPlacement() {}

  /** Creates a placement without statistics of any sampler. */
  public static RunPlacement create() {
    return new RunPlacement();
  }

  private static final class SamplerStats {
    double eventGapMillis;
    long expectedTokens;
  }

  /** Handles the start of a run that is expected to generate {@code expectedTokens}. */
  public void onStarted(UpstreamEntry sampler, long expectedTokens) {
    checkArgument(expectedTokens >= 0, "expectedTokens is %s, expected >= 0", expectedTokens);
    stats(sampler).expectedTokens += expectedTokens;
  }

  /** Handles the end of a run that was expected to generate {@code expectedTokens}. */
  public void onEnded(UpstreamEntry sampler, long expectedTokens) {
    SamplerStats stats = stats(sampler);
    stats.expectedTokens = Math.max(0, stats.expectedTokens - expectedTokens);
  }

  /** Handles an event, with the time since the previous event or the start of its run. */
  public void onEvent(UpstreamEntry sampler, long gapMillis) {
    if (gapMillis > MAX_GAP_MILLIS) {
      return;
    }
    SamplerStats stats = stats(sampler);
    stats.eventGapMillis =
        stats.eventGapMillis == 0
            ? gapMillis
            : stats.eventGapMillis * (1 - EVENT_GAP_WEIGHT) + gapMillis * EVENT_GAP_WEIGHT;
  }

  /** Removes the statistics of samplers that are gone or were restarted. */
  public void retain(Iterable<UpstreamEntry> current) {
    Set<String> keys = new HashSet<>();
    current.forEach(sampler -> keys.add(sampler.instanceKey()));
    statsBySampler.keySet().retainAll(keys);
  }

  /**
   * Returns the sampler on which a run is expected to end soonest, or empty if none is available.
   *
   * @param available the samplers that accept runs
   * @param inFlight the number of this node's runs in flight on a sampler
   * @param expectedTokens the expected number of generated tokens of the run
   * @param tokenCapacity the number of tokens that a sampler's memory holds, 0 if unknown
   */
  public Optional<UpstreamEntry> choose(
      ImmutableList<UpstreamEntry> available,
      ToIntFunction<UpstreamEntry> inFlight,
      long expectedTokens,
      long tokenCapacity) {
    return choose(
        available,
        new ServiceLoad(inFlight::applyAsInt, sampler -> 1),
        expectedTokens,
        tokenCapacity);
  }

  /**
   * Returns the sampler on which a run is expected to end soonest, or empty if none is available.
   *
   * @param available the samplers that accept runs
   * @param load the load of the samplers, which counts the runs of other nodes where it is known
   * @param expectedTokens the expected number of generated tokens of the run
   * @param tokenCapacity the number of tokens that a sampler's memory holds, 0 if unknown
   */
  public Optional<UpstreamEntry> choose(
      ImmutableList<UpstreamEntry> available,
      ServiceLoad load,
      long expectedTokens,
      long tokenCapacity) {
    double defaultGapMillis = meanEventGapMillis(available);
    return available.stream()
        .min(
            Comparator.comparingDouble(
                sampler ->
                    eventGapMillis(sampler).orElse(defaultGapMillis)
                        * loadSlowdown(sampler, load.occupancy().applyAsDouble(sampler))
                        * load.slowness().applyAsDouble(sampler)
                        * memoryPenalty(sampler, expectedTokens, tokenCapacity)));
  }

  /** Returns whether a run would end clearly sooner on another sampler with free capacity. */
  public boolean worthMoving(
      UpstreamEntry from,
      ImmutableList<UpstreamEntry> available,
      ToDoubleFunction<UpstreamEntry> occupancy,
      long expectedTokens,
      long tokenCapacity) {
    OptionalDouble current = eventGapMillis(from);
    return current.isPresent()
        && available.stream()
            .filter(sampler -> occupancy.applyAsDouble(sampler) < sampler.slots() * MOVE_MAX_LOAD)
            .filter(sampler -> memoryPenalty(sampler, expectedTokens, tokenCapacity) == 1)
            .anyMatch(
                sampler ->
                    eventGapMillis(sampler).orElse(Double.MAX_VALUE) * MOVE_SPEEDUP
                        < current.getAsDouble());
  }

  private OptionalDouble eventGapMillis(UpstreamEntry sampler) {
    SamplerStats stats = statsBySampler.get(sampler.instanceKey());
    return stats == null || stats.eventGapMillis == 0
        ? OptionalDouble.empty()
        : OptionalDouble.of(stats.eventGapMillis);
  }

  private double meanEventGapMillis(ImmutableList<UpstreamEntry> samplers) {
    return samplers.stream()
        .flatMapToDouble(sampler -> eventGapMillis(sampler).stream())
        .average()
        .orElse(1);
  }

  /** Returns the factor on a run's time by the runs before it, which share the slots or wait. */
  private static double loadSlowdown(UpstreamEntry sampler, double occupancy) {
    double waiting = Math.max(0, occupancy + 1 - sampler.slots());
    double running = Math.min(occupancy, sampler.slots());
    return 1 + (FULL_LOAD_SLOWDOWN * running + waiting) / sampler.slots();
  }

  /** Returns 1 if the output fits into the sampler's memory, and a growing factor otherwise. */
  private double memoryPenalty(UpstreamEntry sampler, long expectedTokens, long tokenCapacity) {
    SamplerStats stats = statsBySampler.get(sampler.instanceKey());
    if (stats == null || tokenCapacity == 0) {
      return 1;
    }
    double filled = (double) (stats.expectedTokens + expectedTokens) / tokenCapacity;
    return Math.max(1, filled * filled);
  }

  private SamplerStats stats(UpstreamEntry sampler) {
    return statsBySampler.computeIfAbsent(sampler.instanceKey(), unused -> new SamplerStats());
  }
}
