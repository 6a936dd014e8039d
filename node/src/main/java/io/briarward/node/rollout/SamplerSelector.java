package io.briarward.node.rollout;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.configuration.Upstream;
import java.util.Optional;

/** Selects the sampler of an attempt. */
@FunctionalInterface
public interface SamplerSelector {
  /** Reserves a slot on a sampler for the attempt; empty if no sampler can take it now. */
  Optional<Slot> select(Selection selection);

  /**
   * The requirements of an attempt.
   *
   * @param service the id of the service
   * @param organisation the id of the organisation for which it runs
   * @param group a unique name of the group, whose samples share a prompt
   * @param minVersion the oldest weight version allowed
   * @param preferredVersion the oldest weight version still allowed after the next announcement
   * @param avoided ids of samplers to use only if no other can take the attempt
   */
  record Selection(
      String service,
      String organisation,
      String group,
      String prompt,
      long minVersion,
      long preferredVersion,
      ImmutableSet<String> avoided) {}

  /** A reserved slot on a sampler, counted in the sampler's load until it is released. */
  interface Slot {
    Upstream upstream();

    /** Releases the slot when the attempt has ended. Only the first call has an effect. */
    void release(boolean succeeded);
  }
}
