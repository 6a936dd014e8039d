package io.briarward.core.lease;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Selects the VM that takes over a piece of work, by rendezvous hashing weighted by capacity.
 *
 * <p>Answers the load after the loss of all VMs, when all batches are taken over within a second:
 * with equal weights, a VM with a quarter of a core gets as many as one with a whole core and is
 * late with all of them. If a VM is added or lost, only its own share of the work moves. VMs of
 * equal capacity are selected as by {@link DutyCandidates}, which previous versions use.
 */
public final class WeightedCandidates {
  private static final double HASH_RANGE = 0x1p64;

  private WeightedCandidates() {}

  /**
   * Returns the VM that takes over the work named {@code key}; empty if there is none.
   *
   * @param key identifies the work
   * @param capacities the capacity of each candidate, > 0; one without counts as the mean of those
   *     that have one
   */
  public static Optional<String> choose(
      String key, ImmutableMap<String, OptionalDouble> capacities) {
    double mean =
        capacities.values().stream()
            .filter(OptionalDouble::isPresent)
            .mapToDouble(OptionalDouble::getAsDouble)
            .average()
            .orElse(1);
    ImmutableMap<String, Double> distances =
        capacities.entrySet().stream()
            .collect(
                toImmutableMap(
                    Map.Entry::getKey,
                    entry -> distance(key, entry.getKey(), entry.getValue().orElse(mean))));
    return distances.entrySet().stream()
        .min(
            Map.Entry.<String, Double>comparingByValue()
                .thenComparing(Map.Entry::getKey, Comparator.naturalOrder()))
        .map(Map.Entry::getKey);
  }

  /**
   * Returns an exponentially distributed number with a mean of {@code 1 / capacity}.
   *
   * <p>The VM with the smallest one is selected, which is each VM in proportion to its capacity.
   */
  private static double distance(String key, String vmId, double capacity) {
    double offset = (double) DutyCandidates.score(key, vmId) - (double) Long.MIN_VALUE;
    double uniform = (offset + 0.5) / HASH_RANGE;
    return uniform < 1 ? -Math.log1p(-uniform) / capacity : Double.MAX_VALUE;
  }
}
