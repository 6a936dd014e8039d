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
   * @param partner the id of the partner whose work it is
   * @param reclaimableShare the largest share of the partner's work on reclaimable upstreams
   * @param prompt the prompt, when the request has one that was read
   * @param dueAtMillis when the answer is due, on the node's clock
   * @param excluded the ids of upstreams that failed this request already
   */
  record Selection(
      Service service,
      String partner,
      double reclaimableShare,
      Optional<Prompt> prompt,
      long dueAtMillis,
      ImmutableSet<String> excluded) {}

  /** An upstream with the attempt counted in its load until the slot is released. */
  interface Slot {
    /** Returns the upstream. */
    Upstream upstream();

    /** Ends the attempt; only the first call counts. */
    void release(Ending ending);
  }

  /** How an attempt ended. */
  enum Ending {
    /** The upstream gave a whole answer. */
    ANSWERED,
    /** The upstream refused the connection, broke off or answered wrongly. */
    FAILED,
    /** The attempt was given up for a reason that is not the upstream's. */
    ABANDONED
  }
}
