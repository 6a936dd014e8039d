package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The state of a VM in one node's view.
 *
 * @param vmId the id of the VM
 * @param dataCentre the data centre it runs in
 * @param state the state of the VM, never {@code ALIVE} once the platform has marked the VM as
 *     leaving
 */
public record Member(String vmId, String dataCentre, MemberState state) {
  /** Validates the components. */
  public Member {
    checkNotNull(vmId, "vmId");
    checkNotNull(dataCentre, "dataCentre");
    checkNotNull(state, "state");
  }

  /** Returns whether new work may be sent to the VM. */
  public boolean takesNewWork() {
    return state == MemberState.ALIVE;
  }
}
