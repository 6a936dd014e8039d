package io.briarward.experiments.serving;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.routing.LoadReport;
import io.briarward.core.routing.RouteRequest;
import io.briarward.core.routing.RouteResult;
import io.briarward.core.routing.Router;
import io.briarward.core.routing.RoutingPolicy;
import io.briarward.core.routing.UpstreamChoice;
import io.briarward.experiments.Experiment;
import java.io.PrintStream;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;

/** Compares prefill time and latency of sample groups with the router and with round robin. */
public final class PrefixReuse implements Experiment {
  private static final int ENGINES = 8;
  private static final int SLOTS = 8;
  private static final int CACHED_PREFIXES = 32;
  private static final int REQUESTS = 40_000;
  private static final int GROUP_SIZE = 8;
  private static final int PROMPT_TOKENS = 1_600;
  private static final long PREFILL_MILLIS = 200;
  private static final long DECODE_MILLIS = 1_000;
  private static final double UTILISATION = 0.7;
  private static final long REPORT_INTERVAL_MILLIS = 1_000;
  private static final String SERVICE = "drafter-llm";

  @Override
  public void run(long seed, PrintStream out) {
    out.printf("prefix seed=%d engines=%d slots=%d requests=%d%n", seed, ENGINES, SLOTS, REQUESTS);
    out.printf(
        "%-8s %-12s %12s %10s %10s %14s%n",
        "prompts", "choice", "prefill s", "mean ms", "p99 ms", "max at engine");
    for (boolean singleGroup : new boolean[] {false, true}) {
      for (boolean routed : new boolean[] {false, true}) {
        Trial trial = new Trial(seed, singleGroup, routed);
        trial.run();
        out.printf(
            "%-8s %-12s %12.0f %10.0f %10d %14d%n",
            singleGroup ? "one hot" : "groups",
            routed ? "router" : "round robin",
            trial.engines.prefillMillis() / 1e3,
            trial.latency.getMean(),
            trial.latency.getValueAtPercentile(99),
            trial.engines.maxOutstanding());
      }
    }
  }

  private static final class Trial {
    private final SplittableRandom random;
    private final boolean singleGroup;
    private final boolean routed;
    private final FakeEngines engines = new FakeEngines(ENGINES, SLOTS, CACHED_PREFIXES);
    private final Router router;
    private final Histogram latency = new Histogram(3);
    private int nextEngine;
    private long nowMillis;

    Trial(long seed, boolean singleGroup, boolean routed) {
      this.random = new SplittableRandom(seed);
      this.singleGroup = singleGroup;
      this.routed = routed;
      this.router = Router.create("kushiro", RoutingPolicy.DEFAULT, random.split());
      ImmutableList.Builder<Upstream> upstreams = ImmutableList.builder();
      for (int i = 0; i < ENGINES; i++) {
        upstreams.add(new Upstream("u" + i, "kushiro", "127.0.0.1", 9_000, false, false, SLOTS));
      }
      router.replaceUpstreams(SERVICE, upstreams.build());
    }

    /** Runs the trial. Requests of several groups arrive interleaved, as from several trainers. */
    void run() {
      double perMilli = UTILISATION * ENGINES * SLOTS / (DECODE_MILLIS + PREFILL_MILLIS);
      double arrivalMillis = 0;
      long reportAtMillis = 0;
      for (int i = 0; i < REQUESTS; i++) {
        arrivalMillis -= Math.log(1 - random.nextDouble()) / perMilli;
        nowMillis = (long) arrivalMillis;
        engines.advanceTo(nowMillis);
        if (nowMillis >= reportAtMillis) {
          report();
          reportAtMillis = nowMillis + REPORT_INTERVAL_MILLIS;
        }
        long group = singleGroup ? 0 : i / (8 * GROUP_SIZE) * 8L + random.nextInt(8);
        send(group);
      }
      engines.advanceTo(Long.MAX_VALUE);
    }

    private void send(long group) {
      long sentMillis = nowMillis;
      if (!routed) {
        nextEngine = (nextEngine + 1) % ENGINES;
        engines.submit(nextEngine, work(group, end -> record(end - sentMillis)), nowMillis);
        return;
      }
      RouteRequest request =
          RouteRequest.builder(SERVICE, "kitamon")
              .group("group-" + group)
              .prefixHash(group)
              .promptTokens(PROMPT_TOKENS)
              .build();
      UpstreamChoice choice = ((RouteResult.Chosen) router.choose(request, nowMillis)).choice();
      int engine = Integer.parseInt(choice.upstream().id().substring(1));
      FakeEngines.Work work =
          work(
              group,
              end -> {
                router.onFinished(choice, end);
                record(end - sentMillis);
              });
      engines.submit(engine, work, nowMillis);
    }

    private static FakeEngines.Work work(long group, LongConsumer done) {
      return new FakeEngines.Work(group, PREFILL_MILLIS, DECODE_MILLIS, done);
    }

    private void record(long millis) {
      latency.recordValue(millis);
    }

    private void report() {
      for (int i = 0; i < ENGINES; i++) {
        LoadReport report =
            new LoadReport(engines.running(i), engines.queued(i), SLOTS, 1, nowMillis);
        router.onLoadReport("u" + i, report, nowMillis);
      }
    }
  }
}
