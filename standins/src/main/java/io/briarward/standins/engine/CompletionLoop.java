package io.briarward.standins.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.briarward.standins.http.Exchange;
import io.briarward.standins.http.Fault;
import io.briarward.standins.http.Faults;
import io.briarward.standins.http.RunCounter;
import io.briarward.standins.http.Timer;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Runs the steps of a batch on a timer and sends the generated tokens to the callers.
 *
 * <p>Confined to the engine's event loop.
 */
final class CompletionLoop implements AutoCloseable {
  private static final String REQUEST_ID = "X-Request-Id";

  private final Timer timer;
  private final Faults faults;
  private final String instance;
  private final ContinuousBatch batch;
  private final LongSupplier weightVersion;
  private final Runnable onChange;
  private final RequestLog log = new RequestLog();
  private final RunCounter runs = RunCounter.create();
  private final Map<Generation, CompletionWriter> writers = new HashMap<>();
  private Disposable scheduledStep = Disposable.disposed();
  private boolean stepScheduled;
  private long stepNumber;
  private long nextRequestNumber;
  private long started;
  private long completed;
  private long cancelled;
  private long generatedTokens;

  /**
   * Creates an idle loop.
   *
   * @param weightVersion supplies the weight version with which the next token is generated
   * @param onChange called after the load has changed
   */
  CompletionLoop(
      Timer timer,
      Faults faults,
      String instance,
      ContinuousBatch batch,
      LongSupplier weightVersion,
      Runnable onChange) {
    this.timer = timer;
    this.faults = faults;
    this.instance = instance;
    this.batch = batch;
    this.weightVersion = weightVersion;
    this.onChange = onChange;
  }

  /** Starts the requested completion, which is cancelled if the caller closes the connection. */
  void start(Exchange exchange) {
    String id = exchange.header(REQUEST_ID).orElseGet(this::nextRequestId);
    Generation generation = new Generation(CompletionRequest.parse(id, exchange.json()));
    started++;
    runs.record(id);
    writers.put(generation, new CompletionWriter(exchange, generation));
    exchange.onClose(() -> cancelIf(each -> each == generation));
    batch.add(generation);
    onChange.run();
    if (!stepScheduled) {
      scheduleStep();
    }
  }

  /** Cancels the completions with the given request id. */
  void cancel(String requestId) {
    cancelIf(generation -> generation.request().id().equals(requestId));
  }

  void cancelAll() {
    cancelIf(generation -> true);
  }

  /** Reschedules the next step after the speed has changed. */
  void rescheduleStep() {
    scheduledStep.dispose();
    scheduleStep();
  }

  /** Adds the counters to {@code state}. */
  void addCounters(ObjectNode state) {
    state.put("started", started).put("completed", completed).put("cancelled", cancelled);
    state.put("generatedTokens", generatedTokens);
    state.put("requestsRunTwice", runs.requestsRunTwice());
  }

  /** Returns the most recently ended completions. */
  ArrayNode describeEnded() {
    return log.describe();
  }

  @Override
  public void close() {
    stepNumber++;
    scheduledStep.dispose();
  }

  private String nextRequestId() {
    nextRequestNumber++;
    return instance + "-" + nextRequestNumber;
  }

  private void cancelIf(Predicate<Generation> matches) {
    for (Generation generation : batch.removeIf(matches)) {
      cancelled++;
      log.record(generation, RequestLog.Outcome.CANCELLED);
      Optional.ofNullable(writers.remove(generation)).ifPresent(CompletionWriter::closeConnection);
    }
    onChange.run();
  }

  /** Schedules the next step and invalidates a step that is scheduled but has not run. */
  private void scheduleStep() {
    stepNumber++;
    stepScheduled = !batch.isIdle();
    if (!stepScheduled) {
      return;
    }
    batch.admit(nowMicros());
    double factor = faults.valueOr(Fault.SLOWDOWN, 1);
    long number = stepNumber;
    scheduledStep = timer.schedule((long) (batch.stepMicros() * factor), () -> step(number));
  }

  private void step(long number) {
    if (number != stepNumber) {
      return;
    }
    batch.step(nowMicros(), weightVersion.getAsLong()).forEach(this::deliver);
    onChange.run();
    scheduleStep();
  }

  private void deliver(StepOutput output) {
    Generation generation = output.generation();
    generatedTokens += output.tokens();
    if (!generation.isFinished()) {
      writers.get(generation).write(output);
      return;
    }
    completed++;
    log.record(generation, RequestLog.Outcome.COMPLETED);
    finish(writers.remove(generation), output);
  }

  private void finish(CompletionWriter writer, StepOutput last) {
    if (faults.shouldInject(Fault.TRUNCATED_SHARE)) {
      writer.closeConnection();
    } else if (faults.shouldInject(Fault.GARBAGE_SHARE)) {
      writer.writeGarbage();
    } else {
      writer.write(last);
    }
  }

  private long nowMicros() {
    return TimeUnit.MILLISECONDS.toMicros(timer.nowMillis());
  }
}
