package io.briarward.experiments.bench;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientResponse;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency, CPU time and memory that a node adds, compared with direct calls of the
 * same upstream.
 *
 * <p>Direct and routed rounds alternate, so that other load on the machine affects both equally.
 * The benchmark prints figures and has no pass criterion.
 */
public final class Bench {
  private static final String PATH = "/orders/1";
  private static final int STREAM_TOKENS = 200;
  private static final double MEDIAN = 50;
  private static final double TAIL = 99;

  private final BenchSettings settings;
  private final PrintStream out;

  private Bench(BenchSettings settings, PrintStream out) {
    this.settings = settings;
    this.out = out;
  }

  /** Runs the benchmark and prints its table. */
  public static void run(BenchSettings settings, PrintStream out) throws Exception {
    new Bench(settings, out).run();
  }

  private void run() throws Exception {
    ProcessUsage node = new ProcessUsage(settings.nodePid);
    double idleMebibytes = node.residentMebibytes();
    try (LoadClient client = new LoadClient(settings.secret)) {
      measureCalls(client, node);
      out.printf("resident memory at the start, MB: %.1f%n", idleMebibytes);
      out.printf("resident memory after the calls, MB: %.1f%n", node.residentMebibytes());
      measureStreams(client, node);
    }
  }

  private void measureCalls(LoadClient client, ProcessUsage node) throws InterruptedException {
    ProcessUsage upstream = new ProcessUsage(settings.upstreamPid);
    warmUp(client);
    Histogram direct = new Histogram(3);
    Histogram routed = new Histogram(3);
    double directSeconds = 0;
    double nodeSeconds = 0;
    for (int round = 0; round < settings.rounds; round++) {
      final double upstreamBefore = upstream.cpuSeconds();
      direct.add(client.run(settings.direct, PATH, settings.requests, settings.concurrency));
      directSeconds += upstream.cpuSeconds() - upstreamBefore;
      final double nodeBefore = node.cpuSeconds();
      routed.add(client.run(settings.node, PATH, settings.requests, settings.concurrency));
      nodeSeconds += node.cpuSeconds() - nodeBefore;
    }
    int count = settings.rounds * settings.requests;
    out.printf("requests of each kind: %d, in flight: %d%n", count, settings.concurrency);
    printLatency("median", direct, routed, MEDIAN);
    printLatency("p99", direct, routed, TAIL);
    out.printf(
        "requests per second of one core: upstream alone %.0f, node alone %.0f, ratio %.2f%n",
        count / directSeconds, count / nodeSeconds, directSeconds / nodeSeconds);
    out.printf("node processor time per request, us: %.0f%n", nodeSeconds / count * 1e6);
  }

  private void warmUp(LoadClient client) throws InterruptedException {
    client.run(settings.direct, PATH, settings.requests, settings.concurrency);
    client.run(settings.node, PATH, settings.requests, settings.concurrency);
  }

  private void printLatency(String name, Histogram direct, Histogram routed, double percentile) {
    double directMicros = direct.getValueAtPercentile(percentile);
    double routedMicros = routed.getValueAtPercentile(percentile);
    out.printf(
        "%s, us: direct %.0f, through the node %.0f, added %.0f, ratio %.2f%n",
        name, directMicros, routedMicros, routedMicros - directMicros, routedMicros / directMicros);
  }

  private void measureStreams(LoadClient client, ProcessUsage node) {
    List<Future<HttpClientResponse>> answers = new ArrayList<>();
    for (int i = 0; i < settings.streams; i++) {
      answers.add(client.openStream(settings.node, STREAM_TOKENS, i));
    }
    Future.join(answers).toCompletionStage().toCompletableFuture().join();
    long answered = answers.stream().filter(answer -> answer.result().statusCode() == 200).count();
    out.printf(
        "resident memory with %d streams asked for and %d answered, MB: %.1f%n",
        settings.streams, answered, node.residentMebibytes());
  }
}
