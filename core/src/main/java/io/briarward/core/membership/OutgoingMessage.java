package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A message to send to a VM.
 *
 * @param vmId the id of the receiver
 * @param message the message
 */
public record OutgoingMessage(String vmId, MembershipMessage message) {
  /** Validates the components. */
  public OutgoingMessage {
    checkNotNull(vmId, "vmId");
    checkNotNull(message, "message");
  }
}
