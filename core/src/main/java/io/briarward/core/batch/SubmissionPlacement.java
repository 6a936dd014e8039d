package io.briarward.core.batch;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableMap;
import io.briarward.core.lease.WeightedCandidates;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Selects the VM that runs the batches of one caller, whichever VM accepts them.
 *
 * <p>Answers the load of callers that submit a batch every few seconds, each at another VM, to many
 * VMs of unequal capacity. A VM that runs a batch for the first time compiles the code that it
 * needs and opens a connection to each sampler, and one with a quarter of a core passes events on
 * late. So all batches of a caller go to one VM, and only VMs with at least half of the largest
 * capacity are selected. VMs of equal capacity run the batches that they accept.
 */
public final class SubmissionPlacement {
  private static final double MIN_SHARE_OF_LARGEST = 0.5;

  private SubmissionPlacement() {}

  /**
   * Returns the VM that is to run a batch; empty if the VM that accepted it is to run it.
   *
   * @param caller identifies the batches that go to one VM
   * @param capacities the processor capacity of each live VM, empty if it is unknown
   */
  public static Optional<String> choose(
      String caller, ImmutableMap<String, OptionalDouble> capacities) {
    ImmutableMap<String, OptionalDouble> large = large(capacities);
    return large.size() == capacities.size()
        ? Optional.empty()
        : WeightedCandidates.choose(caller, large);
  }

  private static ImmutableMap<String, OptionalDouble> large(
      ImmutableMap<String, OptionalDouble> capacities) {
    double largest =
        capacities.values().stream().flatMapToDouble(OptionalDouble::stream).max().orElse(0);
    return capacities.entrySet().stream()
        .filter(entry -> entry.getValue().orElse(largest) >= MIN_SHARE_OF_LARGEST * largest)
        .collect(toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
  }
}
