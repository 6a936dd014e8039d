package io.briarward.experiments.demo;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multiset;
import io.briarward.experiments.demo.HttpCalls.Request;
import io.briarward.operator.examples.TubeMill;
import io.briarward.standins.http.Json;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends non-idempotent requests while nodes are killed, suspended and restarted, and checks the
 * history of their answers.
 *
 * <p>Prints {@code progress N} after each tenth of the requests; the script that injects the faults
 * times them by these lines. Latency is not checked.
 */
public final class FaultRun {
  private static final int MAX_ATTEMPTS = 12;
  private static final int CONCURRENCY = 8;
  private static final int TENTHS = 10;
  private static final long ATTEMPT_TIMEOUT_MILLIS = 4_000;
  private static final long RETRY_DELAY_MILLIS = 100;
  private static final long KEY_WITHDRAWAL_WAIT_MILLIS = 7_000;
  private static final String KEY_TO_WITHDRAW = "tavua-mill";
  private static final String CALLER = "lautoka-mill";

  private final DemoSettings settings;
  private final HttpCalls http;
  private final PrintStream out;
  private final Findings findings = new Findings();
  private final AtomicInteger completedOperations = new AtomicInteger();

  private FaultRun(DemoSettings settings, HttpCalls http, PrintStream out) {
    this.settings = settings;
    this.http = http;
    this.out = out;
  }

  /** Runs the requests, prints a table and returns whether every check passed. */
  public static boolean run(DemoSettings settings, PrintStream out)
      throws IOException, InterruptedException {
    VertxOptions options = new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1);
    Vertx vertx = Vertx.vertx(options);
    try (HttpCalls http = HttpCalls.create(vertx)) {
      return new FaultRun(settings, http, out).run();
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private boolean run() throws IOException, InterruptedException {
    new Deployment(http, settings).prepare(Files.readString(Path.of(settings.configuration())));
    setLostAnswerShare(0.02);
    ImmutableList<Operation> operations =
        Flowable.range(0, settings.liveRequests())
            .flatMapSingle(this::runOperation, false, CONCURRENCY)
            .collect(ImmutableList.toImmutableList())
            .blockingGet();
    setLostAnswerShare(0);
    new HistoryCheck(executions(), findings).run(operations);
    checkWithdrawnKey();
    checkUpstreams();
    print(operations);
    return findings.faults().isEmpty();
  }

  private Single<Operation> runOperation(int number) {
    Operation operation = new Operation("operation-" + number, number % 2 == 0);
    return sendAttempt(operation, number)
        .repeatUntil(() -> isDone(operation))
        .ignoreElements()
        .andThen(Single.fromCallable(() -> countCompleted(operation)));
  }

  private Flowable<Operation> sendAttempt(Operation operation, int number) {
    return Single.defer(() -> http.send(request(operation, number)))
        .map(FaultRun::toAttempt)
        .timeout(ATTEMPT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS, Schedulers.computation())
        .onErrorReturnItem(Operation.Attempt.NO_RESPONSE)
        .doOnSuccess(operation::add)
        .delay(
            operation.attempts() == 0 ? 0 : RETRY_DELAY_MILLIS,
            TimeUnit.MILLISECONDS,
            Schedulers.computation())
        .map(unused -> operation)
        .toFlowable();
  }

  private static boolean isDone(Operation operation) {
    return !operation.hasIdempotencyKey()
        || operation.answer().isPresent()
        || operation.attempts() >= MAX_ATTEMPTS;
  }

  private Request request(Operation operation, int number) {
    int node = (number + operation.attempts()) % settings.nodes().size();
    Request request =
        new Request(
                HttpMethod.POST,
                settings.nodes().get(node).httpPort(),
                "/orders",
                ImmutableMap.of("X-Operation-Id", operation.id()),
                operation.id())
            .withBearer(TubeMill.callerSecret(CALLER));
    return operation.hasIdempotencyKey()
        ? request.withHeader("Idempotency-Key", operation.id())
        : request;
  }

  private static Operation.Attempt toAttempt(HttpCalls.Reply reply) {
    boolean problem = reply.status() >= 400;
    return new Operation.Attempt(
        reply.status(),
        problem ? Optional.of(Json.parse(reply.body()).path("run").asText()) : Optional.empty(),
        reply.body());
  }

  private Operation countCompleted(Operation operation) {
    int count = completedOperations.incrementAndGet();
    int tenth = Math.max(1, settings.liveRequests() / TENTHS);
    if (count % tenth == 0) {
      out.println("progress " + count / tenth);
      out.flush();
    }
    return operation;
  }

  private void setLostAnswerShare(double share) {
    for (int port : settings.plain()) {
      http.sendForJson(
          Request.of(
              HttpMethod.POST,
              port,
              "/control/faults",
              Json.object().put("name", "answerLostShare").put("value", share)));
    }
  }

  private Multiset<String> executions() {
    Multiset<String> executions = HashMultiset.create();
    for (int port : settings.plain()) {
      http.sendForJson(Request.get(port, "/control/executions"))
          .properties()
          .forEach(entry -> executions.add(entry.getKey(), entry.getValue().asInt()));
    }
    return executions;
  }

  private void checkWithdrawnKey() throws InterruptedException {
    int operatorPort = settings.nodes().get(0).operatorPort();
    Request withdraw =
        new Request(
                HttpMethod.POST,
                operatorPort,
                "/v1/keys/" + KEY_TO_WITHDRAW + "-caller/withdraw",
                ImmutableMap.of(),
                "")
            .withBearer(settings.operatorToken());
    http.sendForJson(withdraw);
    Thread.sleep(KEY_WITHDRAWAL_WAIT_MILLIS);
    for (DemoSettings.NodePorts node : settings.nodes()) {
      int status =
          http.send(
                  Request.get(node.httpPort(), "/orders/1")
                      .withBearer(TubeMill.callerSecret(KEY_TO_WITHDRAW)))
              .map(HttpCalls.Reply::status)
              .onErrorReturnItem(0)
              .blockingGet();
      findings.expect(status != 200, "%s served a withdrawn key", node.id());
    }
  }

  private void checkUpstreams() {
    for (int port : settings.plain()) {
      long seen =
          http.sendForJson(Request.get(port, "/control/state")).path("requestsWithSecret").asLong();
      findings.expect(seen == 0, "the upstream on port %d saw %d secrets", port, seen);
    }
  }

  private void print(ImmutableList<Operation> operations) {
    row("operations", operations.size());
    row("answered", operations.stream().filter(each -> each.answer().isPresent()).count());
    row("sent again", operations.stream().filter(each -> each.attempts() > 1).count());
    row(
        "refused as not run",
        operations.stream().filter(Operation::everyAttemptStatesNotRun).count());
    ImmutableList<String> faults = findings.faults();
    row("findings", faults.size());
    faults.forEach(fault -> out.println("  " + fault));
  }

  private void row(String label, long value) {
    out.printf("%-24s %d%n", label, value);
  }
}
