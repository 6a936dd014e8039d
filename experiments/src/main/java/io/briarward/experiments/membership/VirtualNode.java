package io.briarward.experiments.membership;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Configuration;
import io.briarward.core.distribution.ChangeResult;
import io.briarward.core.distribution.ChangeStep;
import io.briarward.core.distribution.ConfigurationChange;
import io.briarward.core.distribution.ConfigurationDelta;
import io.briarward.core.distribution.ConfigurationDocument;
import io.briarward.core.distribution.ControlAction;
import io.briarward.core.distribution.ControlNode;
import io.briarward.core.distribution.StoreRead;
import io.briarward.core.keys.ServingPermission;
import io.briarward.core.keys.ServingRule;
import io.briarward.core.membership.ListedVm;
import io.briarward.core.membership.Membership;
import io.briarward.core.membership.MembershipSettings;
import java.util.Random;
import java.util.function.Consumer;

/** A process of a VM with its control state machine, which can be paused and killed. */
final class VirtualNode {
  private final VirtualCluster cluster;
  private final ListedVm vm;
  private final ControlNode control;
  private boolean alive = true;
  private long pausedUntilMillis;

  VirtualNode(VirtualCluster cluster, ListedVm vm, long incarnation, Random random) {
    this.cluster = cluster;
    this.vm = vm;
    long nowMillis = cluster.time().nowMillis();
    Membership membership =
        Membership.create(vm.vmId(), incarnation, MembershipSettings.defaults(), random);
    this.control = ControlNode.create(vm.vmId(), vm.dataCentre(), membership, nowMillis);
    long intervalMillis = MembershipSettings.defaults().probeIntervalMillis();
    cluster.time().schedule(random.nextInt((int) intervalMillis), this::tick);
  }

  String vmId() {
    return vm.vmId();
  }

  ListedVm vm() {
    return vm;
  }

  ControlNode control() {
    return control;
  }

  boolean alive() {
    return alive;
  }

  boolean paused() {
    return cluster.time().nowMillis() < pausedUntilMillis;
  }

  ServingPermission permission() {
    return ServingRule.permission(control, cluster.time().nowMillis());
  }

  /** Returns the configuration version that requests are served with, -1 if none are served. */
  long servedVersion() {
    boolean serves = alive && !paused() && permission().permitted();
    return serves ? control.held().map(ConfigurationDocument::version).orElse(-1L) : -1;
  }

  void kill() {
    alive = false;
  }

  void pause(long millis) {
    pausedUntilMillis = cluster.time().nowMillis() + millis;
  }

  /** Runs an event, after the pause if the process is paused; drops it if it was killed. */
  void deliver(Runnable event) {
    if (alive && paused()) {
      cluster.time().schedule(pausedUntilMillis - cluster.time().nowMillis(), () -> run(event));
    } else {
      run(event);
    }
  }

  void perform(ImmutableList<ControlAction> actions) {
    for (ControlAction action : actions) {
      if (action instanceof ControlAction.SendMembership send) {
        cluster.send(this, send);
      } else if (action instanceof ControlAction.SendConfiguration send) {
        cluster.send(this, send);
      } else if (action instanceof ControlAction.ReadStore read) {
        read(read.read());
      }
    }
  }

  /** Submits a change from the held configuration to another one. */
  void change(Configuration next, String token, Consumer<ChangeResult> onResult) {
    ConfigurationChange change =
        ConfigurationChange.create(control.held().orElseThrow(), next, token);
    step(change, change.start(), onResult);
  }

  private void step(ConfigurationChange change, ChangeStep step, Consumer<ChangeResult> onResult) {
    long sentAtMillis = cluster.time().nowMillis();
    if (step instanceof ChangeStep.Read read) {
      cluster
          .store()
          .readRow(
              vmId(),
              read.row(),
              answer ->
                  deliver(
                      () ->
                          step(
                              change,
                              answer.map(change::onRow).orElseGet(change::onFailure),
                              onResult)));
    } else if (step instanceof ChangeStep.Commit commit) {
      cluster
          .store()
          .commit(
              vmId(),
              commit.transaction(),
              answer ->
                  deliver(
                      () ->
                          step(
                              change,
                              answer.map(change::onCommit).orElseGet(change::onFailure),
                              onResult)));
    } else if (step instanceof ChangeStep.Finished finished) {
      for (ConfigurationDelta delta : finished.result().deltas()) {
        perform(control.onAccepted(delta, sentAtMillis, sentAtMillis));
      }
      onResult.accept(finished.result());
    }
  }

  private void read(StoreRead read) {
    long startedAtMillis = cluster.time().nowMillis();
    cluster
        .store()
        .read(
            vmId(),
            read,
            answer ->
                deliver(
                    () -> {
                      if (answer.isPresent()) {
                        long nowMillis = cluster.time().nowMillis();
                        perform(
                            control.onStoreAnswer(read, answer.get(), startedAtMillis, nowMillis));
                      } else {
                        control.onStoreFailure();
                      }
                    }));
  }

  private void tick() {
    if (!alive) {
      return;
    }
    if (paused()) {
      cluster.time().schedule(pausedUntilMillis - cluster.time().nowMillis(), this::tick);
      return;
    }
    perform(control.tick(cluster.time().nowMillis()));
    cluster.time().schedule(MembershipSettings.defaults().probeIntervalMillis(), this::tick);
  }

  private void run(Runnable event) {
    if (alive) {
      event.run();
    }
  }
}
