package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.HashSet;
import java.util.Set;

/**
 * The data centres whose upstreams get no requests, as the operator's rows name them.
 *
 * <p>The rows alone decide: a snapshot replaces the set, and changes are applied in their order.
 * Data centres without upstreams are kept, since upstreams may appear there. Not thread-safe.
 */
public final class EvacuatedDataCentres {
  private final Set<String> names = new HashSet<>();

  EvacuatedDataCentres() {}

  /** Adds a data centre; returns whether it was not evacuated before. */
  @CanIgnoreReturnValue
  public boolean add(String dataCentre) {
    return names.add(checkNotNull(dataCentre, "dataCentre"));
  }

  /** Removes a data centre; returns whether it was evacuated before. */
  @CanIgnoreReturnValue
  public boolean remove(String dataCentre) {
    return names.remove(dataCentre);
  }

  /** Returns whether an upstream is in an evacuated data centre. */
  public boolean contains(UpstreamEntry upstream) {
    return !names.isEmpty() && names.contains(upstream.dataCentre());
  }

  /** Returns whether no data centre is evacuated. */
  public boolean isEmpty() {
    return names.isEmpty();
  }

  /** Returns the names of the evacuated data centres. */
  public ImmutableSet<String> names() {
    return ImmutableSet.copyOf(names);
  }
}
