package io.briarward.experiments.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.stream.IntStream;

/** Measures writes, reads, bytes and CPU time per sample, for one step of each size. */
public final class RolloutCostExperiment implements Experiment {
  private static final long STEP_MILLIS = 300_000;
  private static final long END_MILLIS = 310_000;
  private static final int[][] TRAINERS_AND_SAMPLES = {
    {1, 128}, {1, 1_024}, {1, 8_192}, {4, 8_192}, {12, 8_192}
  };

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("seed %d; groups of 8; 512 tokens in 16 chunks per sample; a step of 300 s%n", seed);
    out.printf(
        "%9s %9s %10s %10s %10s %10s %11s %12s %10s%n",
        "trainers",
        "samples",
        "commits/s",
        "rows/s",
        "objects/s",
        "reads/s",
        "row B/smpl",
        "alloc B/smpl",
        "cpu/smpl");
    for (int[] size : TRAINERS_AND_SAMPLES) {
      print(size[0], size[1], seed, out);
    }
  }

  private static void print(int trainers, int samples, long seed, PrintStream out) {
    CountingTable table = new CountingTable();
    final long cpuBefore = cpuNanos();
    final long allocatedBefore = allocatedBytes();
    ImmutableList<CostSimulation> rollouts =
        IntStream.range(0, trainers)
            .mapToObj(i -> new CostSimulation(table, "r" + i, samples, STEP_MILLIS, seed + i))
            .collect(ImmutableList.toImmutableList());
    for (long now = 0; now <= END_MILLIS; now += CostSimulation.TICK_MILLIS) {
      long nowMillis = now;
      rollouts.forEach(rollout -> rollout.tick(nowMillis));
    }
    long all = (long) trainers * samples;
    int delivered = rollouts.stream().mapToInt(CostSimulation::delivered).sum();
    if (delivered != all) {
      throw new IllegalStateException(
          delivered + " of " + all + " samples were delivered before the simulation ended");
    }
    int objects = rollouts.stream().mapToInt(CostSimulation::objects).sum();
    double seconds = STEP_MILLIS / 1e3;
    out.printf(
        "%9d %9d %10.1f %10.1f %10.1f %10.1f %11d %12d %7.1f us%n",
        trainers,
        all,
        table.commits() / seconds,
        table.rowsWritten() / seconds,
        objects / seconds,
        table.reads() / seconds,
        table.bytesWritten() / all,
        (allocatedBytes() - allocatedBefore) / all,
        (cpuNanos() - cpuBefore) / 1e3 / all);
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long allocatedBytes() {
    return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
        .getCurrentThreadAllocatedBytes();
  }
}
