package io.briarward.node.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.node.peer.PeerNetwork;
import io.briarward.node.platform.TableService;
import io.briarward.node.platform.VmList;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.TimeUnit;

/**
 * The dependencies of a node's {@link ControlService}.
 *
 * @param vmId the id of the local VM
 * @param dataCentre the data centre of the local VM
 * @param startWallMillis the start time of the process, in milliseconds since the Unix epoch
 * @param scheduler runs all tasks on one thread and has a monotonic clock
 * @param tables the table service
 * @param vmList the platform's list of VMs
 * @param peers the connections to other nodes
 * @param holder receives the configurations that the node serves from
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
  /** Validates the components. */
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
