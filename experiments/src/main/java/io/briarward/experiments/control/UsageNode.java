package io.briarward.experiments.control;

import io.briarward.core.lease.LeaseAction;
import io.briarward.core.lease.LeaseMachine;
import io.briarward.core.lease.LeaseSettings;
import io.briarward.core.lease.LeaseWriteSlot;
import io.briarward.core.usage.CopyFlusher;
import io.briarward.core.usage.CopyHolder;
import io.briarward.core.usage.CopySender;
import io.briarward.core.usage.ReportAction;
import io.briarward.core.usage.ReportMachine;
import io.briarward.core.usage.SendOutcome;
import io.briarward.core.usage.UsageAmounts;
import io.briarward.core.usage.UsageKey;
import io.briarward.core.usage.UsageLedger;
import io.briarward.core.usage.UsageOwner;
import java.util.ArrayDeque;
import java.util.Deque;

/** A node process in a {@link UsageSimulation}. */
final class UsageNode {
  private static final long PEER_DELAY_MILLIS = 1;
  private static final long SINK_DELAY_MILLIS = 20;

  private final UsageSimulation simulation;
  private final String vmId;
  private final UsageLedger ledger;
  private final CopySender sender;
  private final UsageOwner owner;
  private final CopyHolder holder = CopyHolder.create(UsageSimulation.SETTINGS);
  private final CopyFlusher flusher = CopyFlusher.create(UsageSimulation.SETTINGS, holder);
  private final LeaseMachine lease;
  private final ReportMachine reports = ReportMachine.create(UsageSimulation.SETTINGS);
  private final LeaseWriteSlot slot = LeaseWriteSlot.create();
  private final Deque<Long> unansweredSequences = new ArrayDeque<>();

  UsageNode(UsageSimulation simulation, String vmId, String incarnation) {
    this.simulation = simulation;
    this.vmId = vmId;
    this.ledger = UsageLedger.create(UsageSimulation.SETTINGS, now());
    this.sender = CopySender.create(UsageSimulation.SETTINGS, incarnation, ledger);
    this.owner = UsageOwner.create(UsageSimulation.SETTINGS, incarnation, ledger, sender);
    this.lease = LeaseMachine.create(LeaseSettings.defaults(), ReportMachine.DUTY, incarnation);
  }

  void step(boolean request) {
    if (request && owner.registered()) {
      serveRequest();
    }
    sender.setPeers(simulation.peersOf(vmId));
    sendCopies();
    answerDurable();
    owner
        .poll(now(), now())
        .ifPresent(
            commit ->
                simulation
                    .store()
                    .commit(
                        commit.transaction(),
                        result -> owner.onCommit(commit.operation(), result)));
    flusher
        .poll(now())
        .ifPresent(
            commit ->
                simulation
                    .store()
                    .commit(
                        commit.transaction(),
                        result -> flusher.onCommit(commit.operation(), result)));
    report(reports.poll(now(), now(), lease.guard(now())));
    renewLease(slot.poll(lease, now()));
  }

  private long now() {
    return simulation.time().nowMillis();
  }

  private boolean isKilled() {
    return simulation.alive(vmId).filter(node -> node == this).isEmpty();
  }

  private void serveRequest() {
    UsageKey key = new UsageKey("org-" + simulation.random().nextInt(8), "recipe-llm", "live");
    unansweredSequences.add(owner.record(now(), key, new UsageAmounts(1, 1_000, 300, 200, 900)));
    simulation.countRun();
    if (simulation.copies() == 0) {
      // Without copies, answers don't wait for acknowledgements.
      unansweredSequences.clear();
      simulation.countAnswered(1);
    }
  }

  private void sendCopies() {
    for (CopySender.Send send : sender.poll(now())) {
      simulation
          .time()
          .after(
              PEER_DELAY_MILLIS,
              () ->
                  simulation
                      .alive(send.peer())
                      .ifPresent(
                          peer -> {
                            long sequence = peer.holder.accept(send.batch(), now());
                            simulation
                                .time()
                                .after(PEER_DELAY_MILLIS, () -> onAck(send.peer(), sequence));
                          }));
    }
  }

  private void onAck(String peer, long sequence) {
    if (!isKilled()) {
      sender.onAck(peer, sequence);
      answerDurable();
    }
  }

  private void answerDurable() {
    long durable = sender.durableSequence(Math.max(1, simulation.copies()));
    long count = 0;
    while (!unansweredSequences.isEmpty() && unansweredSequences.peek() <= durable) {
      unansweredSequences.remove();
      count++;
    }
    simulation.countAnswered(count);
  }

  private void renewLease(LeaseAction action) {
    if (action instanceof LeaseAction.Read read) {
      simulation
          .store()
          .read(read.row(), row -> slot.settle(lease.onRead(read.operation(), now(), row)));
    } else if (action instanceof LeaseAction.Commit commit) {
      simulation
          .store()
          .commit(
              commit.transaction(),
              result -> slot.settle(lease.onCommit(commit.operation(), now(), result)));
    }
  }

  private void report(ReportAction action) {
    if (action instanceof ReportAction.Read read) {
      simulation.store().read(read.row(), row -> reports.onRead(read.operation(), row));
    } else if (action instanceof ReportAction.Scan scan) {
      simulation
          .store()
          .scan(
              scan.table(),
              scan.prefix(),
              rows -> reports.onScan(scan.operation(), now(), now(), rows));
    } else if (action instanceof ReportAction.Work work) {
      slot.offer(work.transaction(), done -> reports.onWork(work.operation(), done));
    } else if (action instanceof ReportAction.Send send) {
      simulation
          .time()
          .after(
              SINK_DELAY_MILLIS,
              () -> {
                simulation.accept(send);
                reports.onSent(send.operation(), SendOutcome.ACCEPTED);
              });
    }
  }
}
