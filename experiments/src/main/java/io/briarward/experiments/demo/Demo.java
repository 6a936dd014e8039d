package io.briarward.experiments.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Iterables;
import io.briarward.experiments.demo.HttpCalls.Request;
import io.briarward.experiments.demo.LiveCallers.CallerKey;
import io.briarward.experiments.demo.LiveCallers.Outcome;
import io.briarward.experiments.demo.LiveCallers.Verdict;
import io.briarward.operator.examples.TubeMill;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Runs one training step and concurrent live requests against started processes, and checks the
 * results.
 *
 * <p>A wrong, lost, duplicated or wrongly billed answer fails the run. Late answers are only
 * counted, and don't fail it.
 */
public final class Demo {
  private static final int MAX_PRINTED_FAULTS = 20;

  private final DemoSettings settings;
  private final HttpCalls http;
  private final PrintStream out;
  private final Findings findings = new Findings();

  private Demo(DemoSettings settings, HttpCalls http, PrintStream out) {
    this.settings = settings;
    this.http = http;
    this.out = out;
  }

  /** Runs the demonstration, prints its table and returns whether every check passed. */
  public static boolean run(DemoSettings settings, PrintStream out)
      throws IOException, InterruptedException {
    VertxOptions options = new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1);
    Vertx vertx = Vertx.vertx(options);
    try (HttpCalls http = HttpCalls.create(vertx)) {
      return new Demo(settings, http, out).run();
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private boolean run() throws IOException, InterruptedException {
    Deployment deployment = new Deployment(http, settings);
    deployment.publishWeights(TubeMill.MODEL_SERVICE, 1);
    deployment.publishWeights(TubeMill.MODEL_SERVICE, 2);
    deployment.prepare(Files.readString(Path.of(settings.configuration())));

    var liveOutcomes =
        liveCallers().run(settings.liveRequests()).toCompletionStage().toCompletableFuture();
    TrainingStep.Target target =
        new TrainingStep.Target(
            TubeMill.MODEL_SERVICE, TubeMill.ROLLOUT_POLICY, TubeMill.TRAINER_SECRET);
    TrainingStep.Result step = new TrainingStep(http, settings, target).run();
    List<Outcome> live = liveOutcomes.join();

    EngineRecords records = EngineRecords.read(http, settings.engines());
    StepCheck stepCheck =
        new StepCheck(settings.groups(), settings.samples(), step, records, findings);
    stepCheck.run();
    checkLive(live);
    checkNoSecretsForwarded();
    ImmutableSortedMap<String, UsageCheck.Amounts> delivered =
        UsageCheck.delivered(live, TubeMill.TRAINER, stepCheck.deliveredTokens());
    ImmutableSortedMap<String, UsageCheck.Amounts> billed =
        new UsageCheck(http, settings).awaitBilled(delivered);
    UsageCheck.compare(UsageCheck.withoutLate(billed, delivered, live), delivered, findings);
    checkReports();
    print(step, stepCheck, live);
    printUsage(records, delivered, billed);
    printFaults();
    return findings.faults().isEmpty();
  }

  private LiveCallers liveCallers() {
    ImmutableList<Integer> ports =
        settings.nodes().stream()
            .map(DemoSettings.NodePorts::httpPort)
            .collect(ImmutableList.toImmutableList());
    ImmutableList<CallerKey> keys =
        TubeMill.CALLERS.stream()
            .map(id -> new CallerKey(id, TubeMill.callerSecret(id)))
            .collect(ImmutableList.toImmutableList());
    return new LiveCallers(http, ports, keys);
  }

  private void checkLive(List<Outcome> live) {
    for (Outcome outcome : live) {
      findings.expect(
          outcome.verdict() != Verdict.WRONG,
          "a live request of %s got a wrong answer or none: %s",
          outcome.organisation(),
          outcome.detail());
    }
    long executions = sumOfStates(settings.plain(), "executions");
    long answered = count(live, false, Verdict.CORRECT);
    long late = count(live, false, Verdict.LATE);
    findings.expect(
        executions >= answered && executions <= answered + late,
        "plain services ran %d requests, but %d were answered and %d were late",
        executions,
        answered,
        late);
    long twice = sumOfStates(settings.plain(), "requestsRunTwice");
    findings.expect(twice == 0, "%d requests ran twice on a plain service", twice);
  }

  private void checkNoSecretsForwarded() {
    for (int port : Iterables.concat(settings.engines(), settings.plain())) {
      JsonNode state = state(port);
      long headers = state.path("authorizationHeaders").asLong();
      long secrets = state.path("requestsWithSecret").asLong();
      findings.expect(
          headers + secrets == 0,
          "the upstream on port %d saw %d Authorization headers and %d secrets",
          port,
          headers,
          secrets);
    }
  }

  private void checkReports() {
    JsonNode state = state(settings.reports());
    long different = state.path("differentFigures").asLong();
    long stale = state.path("staleFencingNumbers").asLong();
    findings.expect(different == 0, "%d windows were reported with other figures", different);
    findings.expect(stale == 0, "%d reports carried an old fencing number", stale);
  }

  private void print(TrainingStep.Result step, StepCheck check, List<Outcome> live) {
    row("groups delivered", step.groups().size() + " of " + settings.groups());
    row("samples delivered", Integer.toString(step.samples().size()));
    for (var version : check.samplesPerVersion().entrySet()) {
      row("samples with tokens of version " + version.getElement(), "" + version.getCount());
    }
    row("step time", step.elapsed().toMillis() + " ms");
    row("live answers in time", count(live, Verdict.CORRECT) + " of " + live.size());
    row("streamed completions in time", "" + count(live, true, Verdict.CORRECT));
    row("order lookups in time", "" + count(live, false, Verdict.CORRECT));
    row("refused, not run", "" + count(live, Verdict.REJECTED));
    row("late", "" + count(live, Verdict.LATE));
  }

  private void printUsage(
      EngineRecords records,
      ImmutableSortedMap<String, UsageCheck.Amounts> delivered,
      ImmutableSortedMap<String, UsageCheck.Amounts> billed) {
    UsageCheck.Amounts run = sum(delivered);
    UsageCheck.Amounts bill = sum(billed);
    row("live requests billed", bill.liveRequests() + " of " + run.liveRequests() + " answered");
    row("live tokens billed", bill.liveTokens() + " of " + run.liveTokens() + " delivered");
    row(
        "rollout tokens billed",
        bill.rolloutTokens() + " of " + run.rolloutTokens() + " delivered");
    row("tokens the engines generated", "" + records.generatedTokens());
    JsonNode upstreams = http.sendForJson(Request.get(settings.orders(), "/v1/upstreams"));
    row("spent on ordered upstreams", String.format("%.4f", upstreams.path("spent").asDouble()));
  }

  private void printFaults() {
    ImmutableList<String> faults = findings.faults();
    row("wrong, lost, doubled or misbilled", "" + faults.size());
    faults.stream().limit(MAX_PRINTED_FAULTS).forEach(fault -> out.println("  " + fault));
  }

  private void row(String label, String value) {
    out.printf("%-36s %s%n", label, value);
  }

  private long sumOfStates(ImmutableList<Integer> ports, String field) {
    return ports.stream().mapToLong(port -> state(port).path(field).asLong()).sum();
  }

  private JsonNode state(int port) {
    return http.sendForJson(Request.get(port, "/control/state"));
  }

  private static UsageCheck.Amounts sum(ImmutableSortedMap<String, UsageCheck.Amounts> amounts) {
    return amounts.values().stream().reduce(UsageCheck.Amounts.ZERO, UsageCheck.Amounts::plus);
  }

  private static long count(List<Outcome> live, Verdict verdict) {
    return live.stream().filter(each -> each.verdict() == verdict).count();
  }

  private static long count(List<Outcome> live, boolean streamed, Verdict verdict) {
    return live.stream()
        .filter(each -> each.streamed() == streamed && each.verdict() == verdict)
        .count();
  }
}
