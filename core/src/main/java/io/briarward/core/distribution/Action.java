package io.briarward.core.distribution;

import io.briarward.core.membership.MembershipMessage;

/** What a {@link ControlNode} asks its surroundings to do. */
public sealed interface Action {
  /** Sends a probe or an answer to a VM. */
  record SendMembership(String vmId, MembershipMessage message) implements Action {}

  /** Sends a message about versions to a VM. */
  record SendConfiguration(String vmId, ConfigurationMessage message) implements Action {}

  /** Reads the store and reports back by {@link ControlNode#onStoreAnswer}. */
  record ReadStore(StoreRead read) implements Action {}
}
