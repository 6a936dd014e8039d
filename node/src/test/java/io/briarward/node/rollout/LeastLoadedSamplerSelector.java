package io.briarward.node.rollout;

import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/**
 * Selects the sampler with an allowed weight version and the lowest share of slots in use.
 *
 * <p>No sampler gets more attempts than it runs concurrently. Not thread-safe.
 */
final class LeastLoadedSamplerSelector implements SamplerSelector {
  private final Function<String, Optional<Service>> services;
  private final ToLongFunction<String> weightVersions;
  private final Map<String, Integer> inFlight = new HashMap<>();

  private LeastLoadedSamplerSelector(
      Function<String, Optional<Service>> services, ToLongFunction<String> weightVersions) {
    this.services = services;
    this.weightVersions = weightVersions;
  }

  /**
   * Returns a selector.
   *
   * @param services returns a service by its id
   * @param weightVersions returns the version that a sampler reported last, {@link Long#MAX_VALUE}
   *     if it is unknown
   */
  static LeastLoadedSamplerSelector create(
      Function<String, Optional<Service>> services, ToLongFunction<String> weightVersions) {
    return new LeastLoadedSamplerSelector(services, weightVersions);
  }

  @Override
  public Optional<Slot> select(Selection selection) {
    return services.apply(selection.service()).stream()
        .flatMap(service -> candidates(service, selection))
        .min(
            Comparator.<Upstream, Boolean>comparing(
                    upstream -> selection.avoided().contains(upstream.id()))
                .thenComparing(upstream -> version(upstream) < selection.preferredVersion())
                .thenComparing(this::utilisation))
        .map(this::acquire);
  }

  private Stream<Upstream> candidates(Service service, Selection selection) {
    return service.upstreams().stream()
        .filter(upstream -> version(upstream) >= selection.minVersion())
        .filter(upstream -> inFlightAt(upstream) < upstream.maxConcurrent());
  }

  private long version(Upstream upstream) {
    return weightVersions.applyAsLong(upstream.id());
  }

  private double utilisation(Upstream upstream) {
    return (double) inFlightAt(upstream) / upstream.maxConcurrent();
  }

  private int inFlightAt(Upstream upstream) {
    return inFlight.getOrDefault(upstream.id(), 0);
  }

  private Slot acquire(Upstream upstream) {
    inFlight.merge(upstream.id(), 1, Integer::sum);
    return new CountedSlot(upstream);
  }

  private final class CountedSlot implements Slot {
    private final Upstream upstream;
    private boolean released;

    CountedSlot(Upstream upstream) {
      this.upstream = upstream;
    }

    @Override
    public Upstream upstream() {
      return upstream;
    }

    @Override
    public void release(boolean succeeded) {
      if (!released) {
        released = true;
        inFlight.merge(upstream.id(), -1, Integer::sum);
      }
    }
  }
}
