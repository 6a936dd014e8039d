package io.briarward.core.weights;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.fleet.UpstreamEntry;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Assigns the samplers of each service evenly to the models whose weights are announced.
 *
 * <p>A sampler loads only new weights of its assigned model, so that several trainers together
 * cause no more loads than a single one. A sampler keeps its model until the numbers of samplers
 * per model differ by more than one. Not thread-safe.
 */
final class ModelAssignment {
  private final Map<String, String> modelBySampler = new HashMap<>();

  /** Returns the assigned model of each sampler that has an announced one, by the sampler's id. */
  ImmutableMap<String, String> assign(
      Collection<UpstreamEntry> samplers, ImmutableMap<String, Long> announced) {
    ImmutableSet<String> presentIds =
        samplers.stream().map(UpstreamEntry::id).collect(ImmutableSet.toImmutableSet());
    modelBySampler.keySet().retainAll(presentIds);
    samplers.stream()
        .map(UpstreamEntry::service)
        .distinct()
        .forEach(
            service ->
                assignService(
                    samplers.stream()
                        .filter(sampler -> sampler.service().equals(service))
                        .sorted(Comparator.comparing(UpstreamEntry::id))
                        .collect(ImmutableList.toImmutableList()),
                    announced));
    return ImmutableMap.copyOf(modelBySampler);
  }

  private void assignService(
      ImmutableList<UpstreamEntry> samplers, ImmutableMap<String, Long> announced) {
    for (UpstreamEntry sampler : samplers) {
      if (!modelBySampler.containsKey(sampler.id())) {
        // Prefers the model with the least lag, so that a new lease holder keeps the loaded models.
        candidateModels(sampler, announced)
            .min(
                Comparator.comparingLong(
                        (String model) -> announced.get(model) - sampler.version(model))
                    .thenComparing(Comparator.naturalOrder()))
            .ifPresent(model -> modelBySampler.put(sampler.id(), model));
      }
    }
    while (rebalanceOne(samplers, announced)) {
      // Terminates, since each move makes the numbers of samplers per model more even.
    }
  }

  private boolean rebalanceOne(
      ImmutableList<UpstreamEntry> samplers, ImmutableMap<String, Long> announced) {
    ImmutableMap<String, Long> counts = samplerCounts(samplers, announced);
    Optional<String> least = counts.keySet().stream().min(Comparator.comparing(counts::get));
    Optional<String> most = counts.keySet().stream().max(Comparator.comparing(counts::get));
    if (least.isEmpty() || counts.get(most.get()) - counts.get(least.get()) <= 1) {
      return false;
    }
    Optional<UpstreamEntry> moved =
        samplers.stream()
            .filter(sampler -> most.get().equals(modelBySampler.get(sampler.id())))
            .filter(sampler -> sampler.version(least.get()) > 0)
            .max(Comparator.comparingLong(sampler -> sampler.version(least.get())));
    moved.ifPresent(sampler -> modelBySampler.put(sampler.id(), least.get()));
    return moved.isPresent();
  }

  private ImmutableMap<String, Long> samplerCounts(
      ImmutableList<UpstreamEntry> samplers, ImmutableMap<String, Long> announced) {
    Map<String, Long> counts = new HashMap<>();
    for (UpstreamEntry sampler : samplers) {
      candidateModels(sampler, announced).forEach(model -> counts.putIfAbsent(model, 0L));
      Optional.ofNullable(modelBySampler.get(sampler.id()))
          .ifPresent(model -> counts.merge(model, 1L, Long::sum));
    }
    return ImmutableMap.copyOf(counts);
  }

  private static Stream<String> candidateModels(
      UpstreamEntry sampler, ImmutableMap<String, Long> announced) {
    return announced.keySet().stream().filter(model -> sampler.version(model) > 0);
  }
}
