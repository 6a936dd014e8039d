package io.briarward.experiments.membership;

import com.google.common.collect.ImmutableList;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Measures how long a node still serves a withdrawn key after the withdrawal is submitted: without
 * faults, with a node isolated, with a node paused and with lost messages.
 */
public final class KeyWithdrawal implements Experiment {
  private static final ImmutableList<Integer> SIZES = ImmutableList.of(10, 100, 1_000);
  private static final int TRIALS = 5;
  private static final long WARM_UP_MILLIS = 30_000;
  private static final long OBSERVATION_MILLIS = 20_000;
  private static final long STEP_MILLIS = 50;
  private static final long PAUSE_MILLIS = 10_000;

  private KeyWithdrawal() {}

  /** Returns the measurement. */
  public static Experiment create() {
    return new KeyWithdrawal();
  }

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d; %d tries each%n", seed, TRIALS);
    out.println("nodes case last-use-ms(median max)");
    for (int size : SIZES) {
      measure(size, "no-fault", cluster -> {}, seed, out);
      measure(size, "isolated", KeyWithdrawal::isolate, seed, out);
      measure(size, "paused", cluster -> cluster.node(1).pause(PAUSE_MILLIS), seed, out);
      measure(size, "loss-10%", cluster -> cluster.network().setLossShare(0.1), seed, out);
    }
  }

  private static void measure(
      int size, String name, Consumer<VirtualCluster> fault, long seed, PrintStream out) {
    List<Long> lastUses = new ArrayList<>();
    for (int trial = 0; trial < TRIALS; trial++) {
      VirtualCluster cluster =
          new VirtualCluster(size, MembershipCost.dataCentres(size), seed + trial);
      cluster.advanceMillis(WARM_UP_MILLIS);
      fault.accept(cluster);
      lastUses.add(lastUseMillis(cluster));
    }
    out.printf(
        "%5d %-9s %8d %8d%n", size, name, Percentiles.median(lastUses), Percentiles.max(lastUses));
  }

  private static long lastUseMillis(VirtualCluster cluster) {
    cluster.node(0).change(Documents.withKeys(1), "token", result -> {});
    long lastUse = 0;
    for (long at = STEP_MILLIS; at <= OBSERVATION_MILLIS; at += STEP_MILLIS) {
      cluster.advanceMillis(STEP_MILLIS);
      boolean used = cluster.nodes().stream().anyMatch(node -> node.servedVersion() == 0);
      lastUse = used ? at : lastUse;
    }
    return lastUse;
  }

  private static void isolate(VirtualCluster cluster) {
    cluster.store().setCutOff("vm-1", true);
    cluster.network().setCuts((from, to) -> from.equals("vm-1") || to.equals("vm-1"));
  }
}
