package io.briarward.experiments.demo;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import io.briarward.standins.http.Json;

/** Checks the answers that callers received against the operations that the upstreams ran. */
final class HistoryCheck {
  private final Multiset<String> executions;
  private final Findings findings;

  /**
   * Creates a check.
   *
   * @param executions the ids of the operations, each as often as the upstreams ran it
   */
  HistoryCheck(Multiset<String> executions, Findings findings) {
    this.executions = executions;
    this.findings = findings;
  }

  void run(ImmutableList<Operation> operations) {
    operations.forEach(this::check);
  }

  private void check(Operation operation) {
    int count = executions.count(operation.id());
    findings.expect(count <= 1, "%s ran %d times", operation.id(), count);
    findings.expect(
        count == 0 || !operation.everyAttemptStatesNotRun(),
        "%s was refused as not run, but it ran",
        operation.id());
    operation.answer().ifPresent(answer -> checkAnswer(operation, answer, count));
  }

  private void checkAnswer(Operation operation, Operation.Attempt answer, int count) {
    findings.expect(count == 1, "%s was answered, but ran %d times", operation.id(), count);
    String body = Json.parse(answer.body()).path("body").asText();
    findings.expect(body.equals(operation.id()), "%s got the answer of %s", operation.id(), body);
  }
}
