package io.briarward.experiments.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import io.briarward.core.distribution.ControlAction;
import io.briarward.core.membership.ListedVm;
import io.briarward.node.configuration.ConfigurationMessageCodec;
import io.briarward.node.membership.MembershipCodec;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * Runs the control state machines of many nodes in virtual time.
 *
 * <p>Each node receives the platform's list of VMs when it starts. All random choices derive from
 * the seed. Not thread-safe.
 */
final class VirtualCluster {
  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final VirtualNetwork network;
  private final VirtualStore store;
  private final Map<String, VirtualNode> nodes = new LinkedHashMap<>();
  private final ImmutableList<ListedVm> vms;
  private boolean countBytes;
  private long bytes;
  private long lastIncarnation;

  VirtualCluster(int size, int dataCentres, long seed) {
    checkArgument(size > 0, "size is %s, expected > 0", size);
    checkArgument(dataCentres > 0, "dataCentres is %s, expected > 0", dataCentres);
    this.random = new Random(seed);
    this.network = new VirtualNetwork(time, new Random(random.nextLong()));
    this.store = new VirtualStore(time, new Random(random.nextLong()));
    ImmutableList.Builder<ListedVm> listed = ImmutableList.builder();
    for (int i = 0; i < size; i++) {
      listed.add(new ListedVm("vm-" + i, "dc-" + i % dataCentres, false));
    }
    this.vms = listed.build();
    vms.forEach(vm -> start(vm.vmId()));
  }

  VirtualTime time() {
    return time;
  }

  VirtualNetwork network() {
    return network;
  }

  VirtualStore store() {
    return store;
  }

  ImmutableList<VirtualNode> nodes() {
    return ImmutableList.copyOf(nodes.values());
  }

  VirtualNode node(int index) {
    return nodes.get("vm-" + index);
  }

  void advanceMillis(long millis) {
    time.advanceTo(time.nowMillis() + millis);
  }

  /** Starts a new process of the VM, and kills the running one. */
  VirtualNode start(String vmId) {
    ListedVm vm = vms.get(Integer.parseInt(vmId.substring("vm-".length())));
    VirtualNode previous = nodes.get(vmId);
    if (previous != null) {
      previous.kill();
    }
    VirtualNode node = new VirtualNode(this, vm, ++lastIncarnation, new Random(random.nextLong()));
    node.control().setListed(vms);
    nodes.put(vmId, node);
    return node;
  }

  /** Counts the encoded bytes of messages from now on. */
  void countBytes() {
    countBytes = true;
  }

  long bytes() {
    return bytes;
  }

  void send(VirtualNode from, ControlAction.SendMembership send) {
    if (countBytes) {
      bytes += MembershipCodec.encode(send.message()).getSerializedSize();
    }
    network.send(
        from.vmId(),
        send.vmId(),
        () -> {
          VirtualNode to = nodes.get(send.vmId());
          to.deliver(
              () ->
                  to.perform(
                      to.control().onMembership(from.vmId(), send.message(), time.nowMillis())));
        });
  }

  void send(VirtualNode from, ControlAction.SendConfiguration send) {
    if (countBytes) {
      bytes += ConfigurationMessageCodec.encode(send.message()).getSerializedSize();
    }
    network.send(
        from.vmId(),
        send.vmId(),
        () -> {
          VirtualNode to = nodes.get(send.vmId());
          to.deliver(
              () ->
                  to.perform(
                      to.control().onConfiguration(from.vmId(), send.message(), time.nowMillis())));
        });
  }
}
