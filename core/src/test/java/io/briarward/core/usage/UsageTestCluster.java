package io.briarward.core.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import io.briarward.core.lease.Backoff;
import io.briarward.core.lease.FaultyTable;
import io.briarward.core.lease.FaultyTable.Cut;
import io.briarward.core.lease.LeaseAction;
import io.briarward.core.lease.LeaseGuard;
import io.briarward.core.lease.LeaseMachine;
import io.briarward.core.lease.LeaseSettings;
import io.briarward.core.lease.WorkSlot;
import io.briarward.core.platform.CommitResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/** Simulates, in virtual time, VMs that serve requests and copy, write and report usage. */
final class UsageTestCluster {
  static final UsageSettings SETTINGS =
      new UsageSettings(
          20_000, 3_000, 200, 10, 200, 5_000, 10_000, 1_000, 2_000, 12, new Backoff(250, 2_000));
  static final long STEP_MILLIS = 50;
  private static final LeaseSettings LEASE = LeaseSettings.defaults();
  private static final long EPOCH_MILLIS = 1_000_000_000_000L;
  private static final int COPIES = 2;
  private static final long PEER_DELAY_MILLIS = 100;

  final FaultyTable table;
  final Random random;
  final List<Vm> vms = new ArrayList<>();
  final Map<String, Vm> byIncarnation = new HashMap<>();
  final Map<String, JsonNode> accepted = new TreeMap<>();
  final Map<String, Long> acceptedAtMillis = new TreeMap<>();
  long nowMillis;
  long run;
  long answered;
  int differentFigures;
  int outdatedTermReports;
  private long highestFencingNumber;

  /** A fault that starts at a time and lasts for a duration. */
  record Fault(Kind kind, long atMillis, long durationMillis, int vm) {}

  /** The kind of a fault. */
  enum Kind {
    KILL,
    STOP,
    PAUSE,
    CUT_STORE_REQUESTS,
    CUT_STORE_ANSWERS,
    CUT_PEERS,
    CUT_ALL,
    STORE_OUT,
    STORE_LOSSY
  }

  UsageTestCluster(long seed, int count) {
    this.random = new Random(seed);
    this.table = new FaultyTable(random);
    for (int i = 0; i < count; i++) {
      vms.add(new Vm(i));
    }
  }

  void run(List<Fault> faults, long untilMillis, boolean load) {
    while (nowMillis < untilMillis) {
      nowMillis += STEP_MILLIS;
      table.advanceTo(nowMillis);
      table.setOut(active(faults, Kind.STORE_OUT, -1));
      table.setLoss(active(faults, Kind.STORE_LOSSY, -1) ? 0.3 : 0.01);
      for (Vm vm : vms) {
        vm.step(faults, load);
      }
    }
  }

  long billed() {
    long sum = 0;
    for (JsonNode figures : accepted.values()) {
      for (JsonNode row : figures.path("usage")) {
        sum += row.path("requests").asLong();
      }
    }
    return sum;
  }

  private boolean active(List<Fault> faults, Kind kind, int vm) {
    for (Fault fault : faults) {
      boolean matchesVm = vm < 0 || fault.vm() == vm;
      boolean isActive =
          nowMillis >= fault.atMillis() && nowMillis < fault.atMillis() + fault.durationMillis();
      if (matchesVm && isActive && fault.kind() == kind) {
        return true;
      }
    }
    return false;
  }

  private SendOutcome receive(ReportAction.Send send) {
    if (send.guard().fencingNumber() < highestFencingNumber) {
      outdatedTermReports++;
    }
    highestFencingNumber = Math.max(highestFencingNumber, send.guard().fencingNumber());
    String key = send.organisation() + '/' + send.windowStartMillis();
    JsonNode before = accepted.putIfAbsent(key, send.figures());
    acceptedAtMillis.putIfAbsent(key, nowMillis);
    if (before != null && !before.equals(send.figures())) {
      differentFigures++;
      return SendOutcome.DIFFERENT_FIGURES;
    }
    return SendOutcome.ACCEPTED;
  }

  /** A VM with its own clocks; a restart gives it a new incarnation and empty memory. */
  final class Vm {
    private final int index;
    private final double clockRate;
    private final long clockOffsetMillis;
    private final long wallOffsetMillis;
    private int starts;
    private boolean down;
    private boolean paused;
    private Cut storeCut = Cut.NONE;
    private boolean peersCut;
    private Node node;
    private final List<Runnable> inbox = new ArrayList<>();

    Vm(int index) {
      this.index = index;
      this.clockRate = 0.99 + 0.02 * random.nextDouble();
      this.clockOffsetMillis = random.nextInt(100_000);
      this.wallOffsetMillis = random.nextInt(1_000) - 500;
      start();
    }

    private void start() {
      starts++;
      inbox.clear();
      node = new Node(this, "vm" + index + '.' + starts);
      byIncarnation.put(node.incarnation, this);
    }

    long clockMillis() {
      return clockOffsetMillis + (long) (nowMillis * clockRate);
    }

    long epochMillis() {
      return EPOCH_MILLIS + wallOffsetMillis + nowMillis;
    }

    private void step(List<Fault> faults, boolean load) {
      if (active(faults, Kind.KILL, index)) {
        down = true;
        inbox.clear();
        byIncarnation.remove(node.incarnation);
        return;
      }
      if (down) {
        down = false;
        start();
      }
      boolean all = active(faults, Kind.CUT_ALL, index);
      storeCut =
          new Cut(
              all || active(faults, Kind.CUT_STORE_REQUESTS, index),
              all || active(faults, Kind.CUT_STORE_ANSWERS, index));
      peersCut = all || active(faults, Kind.CUT_PEERS, index);
      paused = active(faults, Kind.PAUSE, index);
      if (paused) {
        return;
      }
      List<Runnable> arrived = new ArrayList<>(inbox);
      inbox.clear();
      arrived.forEach(Runnable::run);
      boolean stopping = active(faults, Kind.STOP, index);
      node.step(load, stopping);
      if (node.owner.ended()) {
        byIncarnation.remove(node.incarnation);
        start();
      }
    }
  }

  /** The process that runs on a VM. */
  final class Node {
    private final Vm vm;
    private final String incarnation;
    private final UsageLedger ledger;
    private final CopySender sender;
    private final UsageOwner owner;
    private final CopyHolder holder = CopyHolder.create(SETTINGS);
    private final CopyFlusher flusher = CopyFlusher.create(SETTINGS, holder);
    private final LeaseMachine lease;
    private final ReportMachine reports = ReportMachine.create(SETTINGS);
    private final WorkSlot slot = WorkSlot.create();
    private boolean stopping;
    private final List<Long> pendingSequences = new ArrayList<>();

    Node(Vm vm, String incarnation) {
      this.vm = vm;
      this.incarnation = incarnation;
      this.ledger = UsageLedger.create(SETTINGS, vm.epochMillis());
      this.sender = CopySender.create(SETTINGS, incarnation, ledger);
      this.owner = UsageOwner.create(SETTINGS, incarnation, ledger, sender);
      this.lease = LeaseMachine.create(LEASE, ReportMachine.DUTY, incarnation);
    }

    private void step(boolean load, boolean stop) {
      stopping = stopping || stop;
      if (load && !stopping && owner.registered()) {
        serve();
      }
      if (stopping) {
        owner.end();
      }
      copy();
      answer();
      owner
          .poll(vm.clockMillis(), vm.epochMillis())
          .ifPresent(
              commit -> commit(commit, result -> owner.onCommit(commit.operation(), result)));
      flusher
          .poll(vm.clockMillis())
          .ifPresent(
              commit -> commit(commit, result -> flusher.onCommit(commit.operation(), result)));
      report();
    }

    private void serve() {
      for (int i = random.nextInt(3); i > 0; i--) {
        UsageKey key = new UsageKey("org" + random.nextInt(2), "recipe-llm", "completion");
        pendingSequences.add(
            owner.record(vm.epochMillis(), key, new UsageAmounts(1, 1000, 10, 20, 30)));
        run++;
      }
    }

    private void copy() {
      sender.setPeers(peers());
      for (CopySender.Send send : sender.poll(vm.clockMillis())) {
        toPeer(send.peer(), send.batch());
      }
    }

    private ImmutableSet<String> peers() {
      ImmutableSet.Builder<String> peers = ImmutableSet.builder();
      for (int i = 1; i <= COPIES; i++) {
        Vm peer = vms.get((vm.index + i) % vms.size());
        if (!peer.down) {
          peers.add(peer.node.incarnation);
        }
      }
      return peers.build();
    }

    private void toPeer(String peer, CopyBatch batch) {
      table.later(
          PEER_DELAY_MILLIS,
          () -> {
            Vm target = byIncarnation.get(peer);
            if (target == null || target.peersCut || vm.peersCut) {
              return;
            }
            Node receiver = target.node;
            target.inbox.add(() -> receiver.onBatch(batch, this));
          });
    }

    private void onBatch(CopyBatch batch, Node from) {
      long sequence = holder.accept(batch, vm.clockMillis());
      table.later(
          PEER_DELAY_MILLIS,
          () -> {
            if (!vm.peersCut && !from.vm.peersCut && from.vm.node == from) {
              from.vm.inbox.add(() -> from.sender.onAck(incarnation, sequence));
            }
          });
    }

    private void answer() {
      long durable = sender.durableSequence(COPIES);
      answered += pendingSequences.stream().filter(sequence -> sequence <= durable).count();
      pendingSequences.removeIf(sequence -> sequence <= durable);
    }

    private void report() {
      Optional<LeaseGuard> guard = lease.guard(vm.clockMillis());
      act(reports.poll(vm.clockMillis(), vm.epochMillis(), guard));
      LeaseAction action = slot.poll(lease, vm.clockMillis());
      if (action instanceof LeaseAction.Read read) {
        table.read(
            read.row(),
            () -> vm.storeCut,
            row ->
                deliver(() -> slot.settle(lease.onRead(read.operation(), vm.clockMillis(), row))));
      } else if (action instanceof LeaseAction.Commit commit) {
        table.commit(
            commit.transaction(),
            () -> vm.storeCut,
            result ->
                deliver(
                    () ->
                        slot.settle(lease.onCommit(commit.operation(), vm.clockMillis(), result))));
      }
    }

    private void act(ReportAction action) {
      if (action instanceof ReportAction.Read read) {
        table.read(
            read.row(),
            () -> vm.storeCut,
            row -> deliver(() -> reports.onRead(read.operation(), row)));
      } else if (action instanceof ReportAction.Scan scan) {
        table.scan(
            scan.table(),
            scan.prefix(),
            () -> vm.storeCut,
            rows ->
                deliver(
                    () ->
                        reports.onScan(
                            scan.operation(), vm.clockMillis(), vm.epochMillis(), rows)));
      } else if (action instanceof ReportAction.Work next) {
        slot.offer(next.transaction(), committed -> reports.onWork(next.operation(), committed));
      } else if (action instanceof ReportAction.Send send) {
        send(send);
      }
    }

    private void send(ReportAction.Send send) {
      if (!send.guard().mayStart(vm.clockMillis())) {
        reports.onFailure(send.operation(), vm.clockMillis(), 0);
        return;
      }
      boolean slow = random.nextInt(10) == 0;
      table.later(
          slow ? LEASE.inFlightMillis() : PEER_DELAY_MILLIS,
          () -> {
            SendOutcome outcome = receive(send);
            if (random.nextDouble() > 0.1) {
              deliver(() -> reports.onSent(send.operation(), outcome));
            }
          });
    }

    private void commit(StoreCommit commit, java.util.function.Consumer<CommitResult> answer) {
      table.commit(
          commit.transaction(), () -> vm.storeCut, result -> deliver(() -> answer.accept(result)));
    }

    private void deliver(Runnable action) {
      if (vm.node == this && !vm.down) {
        vm.inbox.add(action);
      }
    }
  }
}
