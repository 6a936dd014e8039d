package io.briarward.core.lease;

import com.fasterxml.jackson.databind.node.LongNode;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Simulates processes that compete for one lease and send orders under it, in virtual time. */
final class LeaseSimulation {
  static final LeaseSettings SETTINGS = LeaseSettings.defaults();
  static final long STEP_MILLIS = 50;

  final FaultyTable table;
  final List<Process> processes = new ArrayList<>();
  final List<Received> received = new ArrayList<>();
  final List<Received> rejected = new ArrayList<>();
  long nowMillis;
  private final Random random;
  private final boolean checksFencing;
  private long highestFencingNumber;

  /**
   * A fault that is active from {@code atMillis} for {@code durationMillis}.
   *
   * @param process the index of the affected process; ignored by faults of the store
   */
  record Fault(FaultKind kind, long atMillis, long durationMillis, int process) {
    boolean active(long nowMillis) {
      return nowMillis >= atMillis && nowMillis < atMillis + durationMillis;
    }
  }

  /** The kind of a fault. */
  enum FaultKind {
    KILL,
    FREEZE,
    FREEZE_BEFORE_SEND,
    CUT_REQUESTS,
    CUT_ANSWERS,
    CUT_BOTH,
    STORE_OUT,
    STORE_LOSSY,
    RELEASE
  }

  /** An order as it arrived at the receiver. */
  record Received(long atMillis, long fencingNumber, String sender) {}

  LeaseSimulation(long seed, int count, boolean checksFencing) {
    this.random = new Random(seed);
    this.table = new FaultyTable(random);
    this.checksFencing = checksFencing;
    for (int i = 0; i < count; i++) {
      processes.add(new Process(i));
    }
  }

  void run(List<Fault> faults, long untilMillis) {
    while (nowMillis < untilMillis) {
      nowMillis += STEP_MILLIS;
      table.advanceTo(nowMillis);
      table.setOut(active(faults, FaultKind.STORE_OUT, -1));
      table.setLoss(active(faults, FaultKind.STORE_LOSSY, -1) ? 0.4 : 0.02);
      for (Process process : processes) {
        process.step(faults);
      }
    }
  }

  boolean active(List<Fault> faults, FaultKind kind, int process) {
    for (Fault fault : faults) {
      boolean hit = process < 0 || fault.process() == process;
      if (hit && fault.kind() == kind && fault.active(nowMillis)) {
        return true;
      }
    }
    return false;
  }

  private void receive(long fencingNumber, String sender) {
    Received order = new Received(nowMillis, fencingNumber, sender);
    if (checksFencing && fencingNumber < highestFencingNumber) {
      rejected.add(order);
      return;
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
    received.add(order);
  }

  /** A process with its own clock, which may be killed, frozen or disconnected from the store. */
  final class Process {
    private final int index;
    private final double clockRate;
    private final long clockOffsetMillis;
    private int incarnation;
    private LeaseMachine machine;
    private FaultyTable.Cut cut = FaultyTable.Cut.NONE;
    private Optional<LeaseGuard> guardToSendUnder = Optional.empty();
    private final List<Runnable> inbox = new ArrayList<>();
    private boolean dead;
    private long lastSentMillis;

    Process(int index) {
      this.index = index;
      this.clockRate = random.nextBoolean() ? 0.99 : 1.01;
      this.clockOffsetMillis = random.nextInt(1_000_000);
      start();
    }

    private void start() {
      incarnation++;
      machine = LeaseMachine.create(SETTINGS, "orders/nadi", "vm" + index + '.' + incarnation);
      inbox.clear();
      guardToSendUnder = Optional.empty();
    }

    long clockMillis() {
      return clockOffsetMillis + (long) (nowMillis * clockRate);
    }

    private void step(List<Fault> faults) {
      if (active(faults, FaultKind.KILL, index)) {
        dead = true;
        return;
      }
      if (dead) {
        dead = false;
        start();
      }
      boolean both = active(faults, FaultKind.CUT_BOTH, index);
      cut =
          new FaultyTable.Cut(
              both || active(faults, FaultKind.CUT_REQUESTS, index),
              both || active(faults, FaultKind.CUT_ANSWERS, index));
      boolean frozenBeforeSend = active(faults, FaultKind.FREEZE_BEFORE_SEND, index);
      if (active(faults, FaultKind.FREEZE, index)) {
        return;
      }
      if (guardToSendUnder.isPresent()) {
        if (frozenBeforeSend) {
          return;
        }
        send();
        return;
      }
      if (frozenBeforeSend && machine.guard(clockMillis()).isEmpty()) {
        return;
      }
      inbox.forEach(Runnable::run);
      inbox.clear();
      boolean releasing = active(faults, FaultKind.RELEASE, index);
      if (releasing && nowMillis > lastSentMillis + SETTINGS.inFlightMillis()) {
        machine.release();
      } else if (machine.released(clockMillis())) {
        start();
      }
      act(machine.poll(clockMillis()));
      if (!releasing) {
        obtainGuard(frozenBeforeSend);
      }
    }

    private void obtainGuard(boolean frozenBeforeSend) {
      Optional<LeaseGuard> guard = machine.guard(clockMillis());
      if (guard.isEmpty()) {
        return;
      }
      guardToSendUnder = guard;
      if (!frozenBeforeSend) {
        send();
      }
    }

    private void send() {
      LeaseGuard guard = guardToSendUnder.orElseThrow();
      guardToSendUnder = Optional.empty();
      lastSentMillis = nowMillis;
      String sender = "vm" + index + '.' + incarnation;
      Runnable arrival = () -> receive(guard.fencingNumber(), sender);
      if (random.nextBoolean()) {
        table.after(SETTINGS.inFlightMillis(), arrival);
      } else {
        table.later(SETTINGS.inFlightMillis(), arrival);
      }
    }

    private void act(LeaseAction action) {
      final LeaseMachine target = machine;
      if (action instanceof LeaseAction.Read read) {
        table.read(
            read.row(),
            () -> cut,
            row -> inbox.add(() -> target.onRead(read.operation(), clockMillis(), row)));
      } else if (action instanceof LeaseAction.Commit commit) {
        table.commit(
            commit.transaction(),
            () -> cut,
            result -> inbox.add(() -> target.onCommit(commit.operation(), clockMillis(), result)));
      }
    }
  }

  static Transaction putWork(RowKey key, long value) {
    return Transaction.builder().put(key, LongNode.valueOf(value)).build();
  }
}
