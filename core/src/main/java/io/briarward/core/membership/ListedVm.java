package io.briarward.core.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A VM on the platform's list.
 *
 * @param vmId the id of the VM
 * @param dataCentre the data centre it runs in
 * @param leaving whether the platform is about to remove the VM
 */
public record ListedVm(String vmId, String dataCentre, boolean leaving) {
  /** Validates the components. */
  public ListedVm {
    checkNotNull(vmId, "vmId");
    checkNotNull(dataCentre, "dataCentre");
  }
}
