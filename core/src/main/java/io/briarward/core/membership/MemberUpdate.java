package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An update about the state of a VM, disseminated from node to node.
 *
 * @param vmId the id of the VM that the update is about
 * @param state the state of the VM
 * @param incarnation incremented only by that VM, to refute updates about earlier incarnations
 */
public record MemberUpdate(String vmId, MemberState state, long incarnation) {
  /** Validates the components. */
  public MemberUpdate {
    checkNotNull(vmId, "vmId");
    checkNotNull(state, "state");
  }

  /** Returns whether this update supersedes {@code other}, which must be about the same VM. */
  boolean supersedes(MemberUpdate other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return state.compareTo(other.state) > 0;
  }
}
