package io.briarward.node.platform;

import com.google.common.collect.ImmutableList;
import io.reactivex.rxjava3.core.Single;

/** The platform's lagging list of live and leaving VMs. */
@FunctionalInterface
public interface VmList {
  /** Reads the list. */
  Single<ImmutableList<Vm>> read();

  /**
   * A VM as the platform lists it.
   *
   * @param leaving whether the platform is about to take it away
   */
  record Vm(
      String id, String dataCentre, String host, int peerPort, int httpPort, boolean leaving) {}
}
