package io.briarward.experiments.membership;

import com.google.common.collect.ImmutableList;
import io.briarward.core.distribution.ConfigurationDocument;
import io.briarward.core.keys.ServingRule;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the time until a configuration change is in force on all nodes, and its cost, with and
 * without a region that is partitioned from the others but reaches the store.
 */
public final class ConfigurationSpread implements Experiment {
  private static final ImmutableList<Integer> SIZES = ImmutableList.of(10, 100, 1_000);
  private static final int CHANGES = 10;
  private static final int KEYS = 200;
  private static final long CHANGE_INTERVAL_MILLIS = 7_000;
  private static final long STEP_MILLIS = 50;
  private static final long WARM_UP_MILLIS = 30_000;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final int CUT_OFF_DATA_CENTRE = 1;

  private ConfigurationSpread() {}

  /** Returns the measurement. */
  public static Experiment create() {
    return new ConfigurationSpread();
  }

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d; %d changes, one per 7 s, of one key among %d%n", seed, CHANGES, KEYS);
    out.println(
        "nodes cut in-force-ms(median max) accepted-ms(median max) bytes/s/node store-reads/s"
            + " store-bytes/s");
    for (int size : SIZES) {
      measure(size, false, seed, out);
      measure(size, true, seed, out);
    }
  }

  private static void measure(int size, boolean partitioned, long seed, PrintStream out) {
    int dataCentres = MembershipCost.dataCentres(size);
    VirtualCluster cluster = new VirtualCluster(size, dataCentres, seed);
    cluster.advanceMillis(WARM_UP_MILLIS);
    if (partitioned) {
      cluster
          .network()
          .setCuts((from, to) -> isCutOff(from, dataCentres) != isCutOff(to, dataCentres));
    }
    cluster.countBytes();
    final long readsBefore = cluster.store().reads();
    final long readBytesBefore = cluster.store().readBytes();
    List<Long> inForceMillis = new ArrayList<>();
    List<Long> acceptedMillis = new ArrayList<>();
    for (int change = 1; change <= CHANGES; change++) {
      change(cluster, change, inForceMillis, acceptedMillis);
    }
    double seconds = CHANGES * CHANGE_INTERVAL_MILLIS / MILLIS_PER_SECOND;
    out.printf(
        "%5d %3s %10d %10d %12d %10d %12.0f %13.1f %13.0f%n",
        size,
        partitioned ? "yes" : "no",
        Percentiles.median(inForceMillis),
        Percentiles.max(inForceMillis),
        Percentiles.median(acceptedMillis),
        Percentiles.max(acceptedMillis),
        cluster.bytes() / seconds / size,
        (cluster.store().reads() - readsBefore) / seconds,
        (cluster.store().readBytes() - readBytesBefore) / seconds);
  }

  private static void change(
      VirtualCluster cluster, int number, List<Long> inForceMillis, List<Long> acceptedMillis) {
    VirtualNode operatorNode = cluster.node(0);
    operatorNode.change(Documents.withKeys(KEYS - number), "token-" + number, result -> {});
    long inForce = -1;
    long accepted = -1;
    for (long at = STEP_MILLIS; at <= CHANGE_INTERVAL_MILLIS; at += STEP_MILLIS) {
      if (at % 500 == 0 && accepted < 0) {
        operatorNode.perform(operatorNode.control().probeSample(cluster.time().nowMillis()));
      }
      cluster.advanceMillis(STEP_MILLIS);
      boolean everywhere =
          cluster.nodes().stream().allMatch(node -> node.servedVersion() >= number);
      inForce = inForce < 0 && everywhere ? at : inForce;
      boolean held =
          operatorNode.control().held().map(ConfigurationDocument::version).orElse(0L) >= number;
      boolean majority =
          held
              && ServingRule.isAccepted(operatorNode.control(), number, cluster.time().nowMillis());
      accepted = accepted < 0 && majority ? at : accepted;
    }
    inForceMillis.add(inForce < 0 ? Long.MAX_VALUE : inForce);
    acceptedMillis.add(accepted < 0 ? Long.MAX_VALUE : accepted);
  }

  private static boolean isCutOff(String vmId, int dataCentres) {
    int index = Integer.parseInt(vmId.substring("vm-".length()));
    return index % dataCentres == CUT_OFF_DATA_CENTRE;
  }
}
