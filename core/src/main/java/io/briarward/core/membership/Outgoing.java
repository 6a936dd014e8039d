package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A message to send to a VM.
 *
 * @param vmId the id of the receiver
 * @param message the message
 */
public record Outgoing(String vmId, MembershipMessage message) {
  /** Validates the components. */
  public Outgoing {
    checkNotNull(vmId, "vmId");
    checkNotNull(message, "message");
  }
}
