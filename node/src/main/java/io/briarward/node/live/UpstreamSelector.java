package io.briarward.node.live;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import java.util.Optional;

/** Chooses the upstream of an attempt. */
@FunctionalInterface
public interface UpstreamSelector {
  /** Returns an upstream that takes the attempt, or empty when there is none. */
  Optional<Slot> select(Selection selection);

  /**
   * What an attempt needs.
   *
   * @param excluded the ids of upstreams that failed this request already
   */
  record Selection(Service service, String organisation, ImmutableSet<String> excluded) {}

  /** An upstream with the attempt counted in its load until the slot is released. */
  interface Slot {
    /** Returns the upstream. */
    Upstream upstream();

    /** Ends the attempt; only the first call counts. */
    void release(boolean succeeded);
  }
}
