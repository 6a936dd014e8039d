package io.briarward.experiments.serving;

import com.google.common.collect.ImmutableList;
import com.sun.management.ThreadMXBean;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.LoadReport;
import io.briarward.core.routing.RouteRequest;
import io.briarward.core.routing.RouteResult;
import io.briarward.core.routing.Router;
import io.briarward.core.routing.RoutingPolicy;
import io.briarward.core.routing.UpstreamChoice;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/** Measures the time and memory of a routing decision by the number of upstreams. */
public final class RoutingCost implements Experiment {
  private static final String SERVICE = "recipe-llm";
  private static final ImmutableList<Integer> UPSTREAMS = ImmutableList.of(10, 100, 1_000, 10_000);
  private static final int WARM_UP_DECISIONS = 200_000;
  private static final int DECISIONS = 400_000;
  private static final int GROUPS = 2_000;

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("routing-cost seed=%d decisions=%d%n", seed, DECISIONS);
    out.printf("%10s %12s %16s%n", "upstreams", "ns/decision", "bytes/decision");
    for (int upstreams : UPSTREAMS) {
      Trial trial = new Trial(upstreams, seed);
      trial.decide(WARM_UP_DECISIONS);
      long allocatedBefore = allocatedBytes();
      long startNanos = System.nanoTime();
      trial.decide(DECISIONS);
      long nanos = System.nanoTime() - startNanos;
      long bytes = allocatedBytes() - allocatedBefore;
      out.printf("%10d %12d %16d%n", upstreams, nanos / DECISIONS, bytes / DECISIONS);
    }
  }

  private static long allocatedBytes() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    return threads.getCurrentThreadAllocatedBytes();
  }

  /**
   * A router with requests in flight for half its capacity, at most 1,000. A decision includes
   * reporting the end of an earlier request.
   */
  private static final class Trial {
    private static final int SLOTS = 16;

    private final SplittableRandom random;
    private final Router router;
    private final RouteRequest[] requests = new RouteRequest[GROUPS];
    private final Deque<UpstreamChoice> inFlight = new ArrayDeque<>();
    private final int target;
    private long nowMillis;

    Trial(int upstreams, long seed) {
      random = new SplittableRandom(seed);
      router = Router.create("nadi", RoutingPolicy.DEFAULT, random.split());
      target = Math.min(upstreams * SLOTS / 2, 1_000);
      ImmutableList.Builder<Upstream> all = ImmutableList.builder();
      for (int i = 0; i < upstreams; i++) {
        all.add(new Upstream("u" + i, "nadi", "127.0.0.1", 9_000, i % 4 == 0, false, SLOTS));
      }
      router.replaceUpstreams(SERVICE, all.build());
      for (int i = 0; i < upstreams; i++) {
        LoadReport report =
            new LoadReport(random.nextInt(SLOTS), 0, SLOTS, 1 + random.nextInt(2), 0);
        router.onLoadReport("u" + i, report, 0);
      }
      for (int i = 0; i < GROUPS; i++) {
        requests[i] = request(i);
      }
    }

    private RouteRequest request(int group) {
      return RouteRequest.builder(SERVICE, "vatuwaqa")
          .group("group-" + group)
          .prefixHash(random.nextLong())
          .promptTokens(800)
          .reclaimableShare(0.5)
          .minWeightVersion(1 + group % 2)
          .build();
    }

    void decide(int decisions) {
      for (int i = 0; i < decisions; i++) {
        nowMillis += i % 20 == 0 ? 1 : 0;
        RouteRequest request = requests[random.nextInt(GROUPS)];
        if (router.choose(request, nowMillis) instanceof RouteResult.Chosen chosen) {
          inFlight.add(chosen.choice());
        }
        if (inFlight.size() > target) {
          router.onFinished(inFlight.remove(), nowMillis);
        }
      }
    }
  }
}
