package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.node.peer.PeerNetwork;
import io.briarward.node.platform.TableService;
import io.briarward.node.platform.VmList;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.TimeUnit;

/**
 * What the control service of a node works with.
 *
 * @param vmId the id of the local VM
 * @param dataCentre the data centre of the local VM
 * @param startWallMillis when the process started, in milliseconds since the Unix epoch
 * @param scheduler runs everything on one thread, by a monotonic clock
 * @param tables the table service
 * @param vmList the platform's list of VMs
 * @param peers the other nodes
 * @param holder receives the configurations to serve from
 */
public record ControlContext(
    String vmId,
    String dataCentre,
    long startWallMillis,
    Scheduler scheduler,
    TableService tables,
    VmList vmList,
    PeerNetwork peers,
    ConfigurationHolder holder) {
  /** Checks the fields. */
  public ControlContext {
    checkNotNull(vmId, "vmId");
    checkNotNull(dataCentre, "dataCentre");
    checkNotNull(scheduler, "scheduler");
    checkNotNull(tables, "tables");
    checkNotNull(vmList, "vmList");
    checkNotNull(peers, "peers");
    checkNotNull(holder, "holder");
  }

  long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
