package io.briarward.experiments.membership;

import com.google.common.collect.ImmutableList;
import io.briarward.core.membership.Member;
import io.briarward.core.membership.MemberState;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;

/**
 * Measures the cost per node of membership and configuration distribution at 10, 100 and 1,000
 * nodes, and the time until a killed VM is detected.
 */
public final class MembershipCost implements Experiment {
  private static final ImmutableList<Integer> SIZES = ImmutableList.of(10, 100, 1_000);
  private static final long WARM_UP_MILLIS = 30_000;
  private static final long MEASURED_MILLIS = 30_000;
  private static final long KILL_WAIT_MILLIS = 60_000;
  private static final long STEP_MILLIS = 100;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final int NODES_PER_DATA_CENTRE = 31;

  private MembershipCost() {}

  /** Returns the measurement. */
  public static Experiment create() {
    return new MembershipCost();
  }

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d; per node; bytes are protobuf without TCP and IP headers%n", seed);
    out.println(
        "nodes messages/s bytes/s cpu-us/s heap-KB suspect-by-all-ms dead-by-all-ms"
            + " false-suspects");
    for (int size : SIZES) {
      measure(size, seed, out);
    }
  }

  static int dataCentres(int size) {
    return Math.max(3, size / NODES_PER_DATA_CENTRE);
  }

  private static void measure(int size, long seed, PrintStream out) {
    long heapBefore = usedHeapBytes();
    VirtualCluster cluster = new VirtualCluster(size, dataCentres(size), seed);
    cluster.advanceMillis(WARM_UP_MILLIS);
    final long heapBytes = usedHeapBytes() - heapBefore;
    cluster.countBytes();
    final long messagesBefore = cluster.network().messages();
    long cpuBefore = threadCpuNanos();
    cluster.advanceMillis(MEASURED_MILLIS);
    long cpuNanos = threadCpuNanos() - cpuBefore;
    double nodeSeconds = size * (MEASURED_MILLIS / MILLIS_PER_SECOND);
    double messages = (cluster.network().messages() - messagesBefore) / nodeSeconds;
    double bytes = cluster.bytes() / nodeSeconds;
    long falseSuspects = countSuspects(cluster);
    cluster.node(0).kill();
    long[] detectedMillis = awaitDetection(cluster);
    out.printf(
        "%5d %10.1f %7.0f %8.0f %7d %17d %14d %14d%n",
        size,
        messages,
        bytes,
        cpuNanos / nodeSeconds / MILLIS_PER_SECOND,
        heapBytes / size / 1024,
        detectedMillis[0],
        detectedMillis[1],
        falseSuspects);
  }

  /**
   * Returns the times in milliseconds until no other node regards the killed VM as alive and until
   * all regard it as dead; -1 for a time that was not reached.
   */
  private static long[] awaitDetection(VirtualCluster cluster) {
    long[] detectedMillis = {-1, -1};
    for (long atMillis = 0; atMillis < KILL_WAIT_MILLIS; atMillis += STEP_MILLIS) {
      cluster.advanceMillis(STEP_MILLIS);
      List<MemberState> states = statesOf(cluster, "vm-0");
      if (detectedMillis[0] < 0 && states.stream().noneMatch(state -> state == MemberState.ALIVE)) {
        detectedMillis[0] = atMillis + STEP_MILLIS;
      }
      if (states.stream().allMatch(state -> state == MemberState.DEAD)) {
        detectedMillis[1] = atMillis + STEP_MILLIS;
        return detectedMillis;
      }
    }
    return detectedMillis;
  }

  private static List<MemberState> statesOf(VirtualCluster cluster, String vmId) {
    return cluster.nodes().stream()
        .filter(VirtualNode::alive)
        .flatMap(node -> node.control().members().stream())
        .filter(member -> member.vmId().equals(vmId))
        .map(Member::state)
        .toList();
  }

  private static long countSuspects(VirtualCluster cluster) {
    return cluster.nodes().stream()
        .flatMap(node -> node.control().members().stream())
        .filter(member -> !member.takesNewWork())
        .count();
  }

  private static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
