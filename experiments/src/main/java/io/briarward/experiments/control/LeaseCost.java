package io.briarward.experiments.control;

import io.briarward.core.lease.DutyCandidates;
import io.briarward.core.lease.LeaseAction;
import io.briarward.core.lease.LeaseMachine;
import io.briarward.core.lease.LeaseSettings;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Measures the load of all duties' leases on the table service, by number of nodes. */
public final class LeaseCost implements Experiment {
  private static final long DURATION_MILLIS = 600_000;
  private static final long STEP_MILLIS = 50;
  private static final int CANDIDATES = 3;
  private static final int[][] SIZES = {{10, 3}, {100, 9}, {1_000, 32}};

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d, %d s of virtual time%n", seed, DURATION_MILLIS / 1_000);
    out.printf(
        "%8s %8s %10s %10s %14s %18s%n",
        "nodes", "duties", "reads/s", "writes/s", "bytes/s", "bytes/s per member");
    for (int[] size : SIZES) {
      measure(size[0], size[1], new Random(seed), out);
    }
  }

  private static void measure(int nodes, int dataCentres, Random random, PrintStream out) {
    VirtualTime time = new VirtualTime();
    CountingStore store = new CountingStore(time, random);
    List<String> vmIds = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      vmIds.add("vm-" + i);
    }
    List<LeaseMachine> machines = new ArrayList<>();
    Set<String> candidateVmIds = new HashSet<>();
    for (String duty : duties(dataCentres)) {
      for (String vmId : DutyCandidates.choose(duty, vmIds, CANDIDATES)) {
        machines.add(LeaseMachine.create(LeaseSettings.defaults(), duty, vmId));
        candidateVmIds.add(vmId);
      }
    }
    for (long i = 0; i < DURATION_MILLIS; i += STEP_MILLIS) {
      machines.forEach(machine -> step(machine, time, store));
      time.advanceBy(STEP_MILLIS);
    }
    double seconds = DURATION_MILLIS / 1_000.0;
    out.printf(
        "%8d %8d %10.2f %10.2f %14.0f %18.0f%n",
        nodes,
        dataCentres + 1,
        store.reads() / seconds,
        store.writes() / seconds,
        store.bytes() / seconds,
        store.bytes() / seconds / candidateVmIds.size());
  }

  private static List<String> duties(int dataCentres) {
    List<String> duties = new ArrayList<>(List.of("reports/all"));
    for (int i = 0; i < dataCentres; i++) {
      duties.add("orders/dc-" + i);
    }
    return duties;
  }

  private static void step(LeaseMachine machine, VirtualTime time, CountingStore store) {
    LeaseAction action = machine.poll(time.nowMillis());
    if (action instanceof LeaseAction.Read read) {
      store.read(read.row(), row -> machine.onRead(read.operation(), time.nowMillis(), row));
    } else if (action instanceof LeaseAction.Commit commit) {
      store.commit(
          commit.transaction(),
          result -> machine.onCommit(commit.operation(), time.nowMillis(), result));
    }
  }
}
