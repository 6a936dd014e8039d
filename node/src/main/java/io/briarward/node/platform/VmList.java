package io.briarward.node.platform;

import com.google.common.collect.ImmutableList;
import io.reactivex.rxjava3.core.Single;

/** The platform's list of live and leaving VMs, which lags behind their actual state. */
@FunctionalInterface
public interface VmList {
  /** Returns the current content of the list. */
  Single<ImmutableList<Vm>> read();

  /**
   * A VM as the platform lists it.
   *
   * @param leaving whether the platform is about to remove the VM
   */
  record Vm(
      String id, String dataCentre, String host, int peerPort, int httpPort, boolean leaving) {}
}
