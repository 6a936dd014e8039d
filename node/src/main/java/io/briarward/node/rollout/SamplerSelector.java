package io.briarward.node.rollout;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Upstream;
import java.util.Optional;

/** Chooses the sampler of an attempt. */
@FunctionalInterface
public interface SamplerSelector {
  /** Returns a sampler with the attempt counted in its load, or empty when none can take it. */
  Optional<Slot> select(Selection selection);

  /**
   * What an attempt needs.
   *
   * @param service the id of the service
   * @param organisation the id of the organisation it runs for
   * @param group names the group, whose samples share a prompt
   * @param prompt the prompt
   * @param minVersion the oldest weight version that the sampler may run
   * @param preferredVersion the oldest weight version that survives the next announcement
   * @param avoided samplers to use only when there is no other
   */
  record Selection(
      String service,
      String organisation,
      String group,
      String prompt,
      long minVersion,
      long preferredVersion,
      ImmutableSet<String> avoided) {}

  /** A sampler with the attempt counted in its load until the slot is released. */
  interface Slot {
    /** Returns the sampler. */
    Upstream upstream();

    /** Ends the attempt; only the first call counts. */
    void release(boolean succeeded);
  }
}
