package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A statement about a VM that is passed on from node to node.
 *
 * @param vmId the VM that the statement is about
 * @param state the state of the VM
 * @param incarnation raised by that VM only, to refute statements about earlier incarnations
 */
public record MemberUpdate(String vmId, MemberState state, long incarnation) {
  /** Checks the fields. */
  public MemberUpdate {
    checkNotNull(vmId, "vmId");
    checkNotNull(state, "state");
  }

  /** Returns whether this statement replaces {@code other}, which is about the same VM. */
  boolean supersedes(MemberUpdate other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return state.compareTo(other.state) > 0;
  }
}
