package io.briarward.node.live;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import java.util.Optional;

/** Selects the upstream of an attempt. */
@FunctionalInterface
public interface UpstreamSelector {
  /** Reserves a slot on an upstream for the attempt; empty if no upstream is available. */
  Optional<Slot> select(Selection selection);

  /**
   * The criteria for selecting an upstream.
   *
   * @param service the service that runs the request
   * @param partner the id of the partner that the request belongs to
   * @param reclaimableShare the maximum share of the partner's work on reclaimable upstreams
   * @param prompt the prompt, if the request has one and its body was buffered
   * @param dueAtMillis the deadline, in milliseconds of the node's monotonic clock
   * @param excluded the ids of the upstreams on which this request has already failed
   */
  record Selection(
      Service service,
      String partner,
      double reclaimableShare,
      Optional<Prompt> prompt,
      long dueAtMillis,
      ImmutableSet<String> excluded) {}

  /** A reservation on an upstream, counted in the upstream's load until it is released. */
  interface Slot {
    Upstream upstream();

    /** Releases the reservation; only the first call has an effect. */
    void release(AttemptOutcome outcome);
  }

  /** How an attempt ended. */
  enum AttemptOutcome {
    /** The upstream sent a complete response. */
    ANSWERED,
    /** The connection was refused or lost, or the response was invalid. */
    FAILED,
    /** The attempt was aborted for a reason unrelated to the upstream. */
    ABANDONED
  }
}
