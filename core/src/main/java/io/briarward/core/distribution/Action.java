package io.briarward.core.distribution;

import io.briarward.core.membership.MembershipMessage;

/** An action that a {@link ControlNode} asks its caller to execute. */
public sealed interface Action {
  /** Sends a membership message to a VM. */
  record SendMembership(String vmId, MembershipMessage message) implements Action {}

  /** Sends a configuration message to a VM. */
  record SendConfiguration(String vmId, ConfigurationMessage message) implements Action {}

  /**
   * Reads the store and passes the result to {@link ControlNode#onStoreAnswer} or {@link
   * ControlNode#onStoreFailure}.
   */
  record ReadStore(StoreRead read) implements Action {}
}
