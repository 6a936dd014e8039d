package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/** A message to be sent to a VM. */
public record Outgoing(String vmId, MembershipMessage message) {
  /** Checks the fields. */
  public Outgoing {
    checkNotNull(vmId, "vmId");
    checkNotNull(message, "message");
  }
}
