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
 * Chooses the sampler with fresh weights and the fewest attempts in flight from this node.
 *
 * <p>No sampler is given more than it runs at once: samples wait at the owner, which sends each to
 * the first sampler that has room.
 *
 * <p>Not thread-safe.
 */
final class LeastLoadedSamplers implements SamplerSelector {
  private final Function<String, Optional<Service>> services;
  private final ToLongFunction<String> weightVersions;
  private final Map<String, Integer> inFlight = new HashMap<>();

  private LeastLoadedSamplers(
      Function<String, Optional<Service>> services, ToLongFunction<String> weightVersions) {
    this.services = services;
    this.weightVersions = weightVersions;
  }

  /**
   * Returns a selector.
   *
   * @param services finds a service by its id
   * @param weightVersions the version that a sampler reported last, {@link Long#MAX_VALUE} when it
   *     is unknown
   */
  static LeastLoadedSamplers create(
      Function<String, Optional<Service>> services, ToLongFunction<String> weightVersions) {
    return new LeastLoadedSamplers(services, weightVersions);
  }

  @Override
  public Optional<Slot> select(Selection selection) {
    return services.apply(selection.service()).stream()
        .flatMap(service -> candidates(service, selection))
        .min(
            Comparator.<Upstream, Boolean>comparing(
                    upstream -> selection.avoided().contains(upstream.id()))
                .thenComparing(upstream -> version(upstream) < selection.preferredVersion())
                .thenComparing(this::relativeLoad))
        .map(this::take);
  }

  private Stream<Upstream> candidates(Service service, Selection selection) {
    return service.upstreams().stream()
        .filter(upstream -> version(upstream) >= selection.minVersion())
        .filter(upstream -> load(upstream) < upstream.maxConcurrent());
  }

  private long version(Upstream upstream) {
    return weightVersions.applyAsLong(upstream.id());
  }

  private double relativeLoad(Upstream upstream) {
    return (double) load(upstream) / upstream.maxConcurrent();
  }

  private int load(Upstream upstream) {
    return inFlight.getOrDefault(upstream.id(), 0);
  }

  private Slot take(Upstream upstream) {
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
