package io.briarward.node.live;

import io.briarward.core.configuration.Upstream;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the upstream with the fewest attempts in flight from this node, the local data centre
 * first.
 *
 * <p>Not thread-safe.
 */
public final class LeastInFlightSelector implements UpstreamSelector {
  private final String localDataCentre;
  private final Map<String, Integer> inFlight = new HashMap<>();

  private LeastInFlightSelector(String localDataCentre) {
    this.localDataCentre = localDataCentre;
  }

  /** Returns a selector of a node in the given data centre. */
  public static LeastInFlightSelector create(String localDataCentre) {
    return new LeastInFlightSelector(localDataCentre);
  }

  @Override
  public Optional<Slot> select(Selection selection) {
    return selection.service().upstreams().stream()
        .filter(upstream -> !selection.excluded().contains(upstream.id()))
        .min(Comparator.comparing(this::remote).thenComparing(this::load))
        .map(this::take);
  }

  private boolean remote(Upstream upstream) {
    return load(upstream) >= upstream.maxConcurrent()
        || !upstream.dataCentre().equals(localDataCentre);
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
