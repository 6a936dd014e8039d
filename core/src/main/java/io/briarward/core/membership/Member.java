package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A VM as one node sees it.
 *
 * @param vmId the id of the VM
 * @param dataCentre the data centre it runs in
 * @param state the state, in which a VM that the platform takes away is never {@code ALIVE}
 */
public record Member(String vmId, String dataCentre, MemberState state) {
  /** Checks the fields. */
  public Member {
    checkNotNull(vmId, "vmId");
    checkNotNull(dataCentre, "dataCentre");
    checkNotNull(state, "state");
  }

  /** Returns whether the VM may be given new work. */
  public boolean takesNewWork() {
    return state == MemberState.ALIVE;
  }
}
