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
 * Divides the samplers of a service evenly among the models whose weights are announced.
 *
 * <p>A sampler loads new weights of its own model only, so that several trainers together cause no
 * more loads than one alone. A sampler keeps its model until the shares differ by more than one.
 * Not thread-safe.
 */
final class ModelAssignment {
  private final Map<String, String> models = new HashMap<>();

  /** Returns the model of each sampler that runs an announced one, by the sampler's id. */
  ImmutableMap<String, String> assign(
      Collection<UpstreamEntry> samplers, ImmutableMap<String, Long> announced) {
    ImmutableSet<String> present =
        samplers.stream().map(UpstreamEntry::id).collect(ImmutableSet.toImmutableSet());
    models.keySet().retainAll(present);
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
    return ImmutableMap.copyOf(models);
  }

  private void assignService(
      ImmutableList<UpstreamEntry> samplers, ImmutableMap<String, Long> announced) {
    for (UpstreamEntry sampler : samplers) {
      if (!models.containsKey(sampler.id())) {
        // The model with the freshest weights, where a new lease holder finds what was loaded.
        choices(sampler, announced)
            .min(
                Comparator.comparingLong(
                        (String model) -> announced.get(model) - sampler.version(model))
                    .thenComparing(Comparator.naturalOrder()))
            .ifPresent(model -> models.put(sampler.id(), model));
      }
    }
    while (moveOne(samplers, announced)) {
      // Each move makes the shares more even, so this ends.
    }
  }

  private boolean moveOne(
      ImmutableList<UpstreamEntry> samplers, ImmutableMap<String, Long> announced) {
    ImmutableMap<String, Long> counts = counts(samplers, announced);
    Optional<String> least = counts.keySet().stream().min(Comparator.comparing(counts::get));
    Optional<String> most = counts.keySet().stream().max(Comparator.comparing(counts::get));
    if (least.isEmpty() || counts.get(most.get()) - counts.get(least.get()) <= 1) {
      return false;
    }
    Optional<UpstreamEntry> moved =
        samplers.stream()
            .filter(sampler -> most.get().equals(models.get(sampler.id())))
            .filter(sampler -> sampler.version(least.get()) > 0)
            .max(Comparator.comparingLong(sampler -> sampler.version(least.get())));
    moved.ifPresent(sampler -> models.put(sampler.id(), least.get()));
    return moved.isPresent();
  }

  private ImmutableMap<String, Long> counts(
      ImmutableList<UpstreamEntry> samplers, ImmutableMap<String, Long> announced) {
    Map<String, Long> counts = new HashMap<>();
    for (UpstreamEntry sampler : samplers) {
      choices(sampler, announced).forEach(model -> counts.putIfAbsent(model, 0L));
      Optional.ofNullable(models.get(sampler.id()))
          .ifPresent(model -> counts.merge(model, 1L, Long::sum));
    }
    return ImmutableMap.copyOf(counts);
  }

  private static Stream<String> choices(
      UpstreamEntry sampler, ImmutableMap<String, Long> announced) {
    return announced.keySet().stream().filter(model -> sampler.version(model) > 0);
  }
}
