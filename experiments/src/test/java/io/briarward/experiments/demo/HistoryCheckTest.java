package io.briarward.experiments.demo;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class HistoryCheckTest {
  private static final Operation.Attempt ANSWER =
      new Operation.Attempt(200, Optional.empty(), "{\"body\":\"a\"}");
  private static final Operation.Attempt NOT_RUN =
      new Operation.Attempt(503, Optional.of("not-run"), "{}");

  private final Findings findings = new Findings();
  private final Operation operation = new Operation("a", true);

  @Test
  void answerAfterOneExecutionHasNoFaults() {
    operation.add(NOT_RUN);
    operation.add(ANSWER);

    assertThat(check("a")).isEmpty();
  }

  @Test
  void reportsSecondExecution() {
    operation.add(Operation.Attempt.NO_RESPONSE);

    assertThat(check("a", "a")).containsExactly("a ran 2 times");
  }

  @Test
  void reportsExecutionOfRejectedOperation() {
    operation.add(NOT_RUN);

    assertThat(check("a")).containsExactly("a was refused as not run, but it ran");
  }

  @Test
  void reportsAnswerOfAnotherOperation() {
    operation.add(new Operation.Attempt(200, Optional.empty(), "{\"body\":\"b\"}"));

    assertThat(check("a")).containsExactly("a got the answer of b");
  }

  private ImmutableList<String> check(String... executions) {
    new HistoryCheck(ImmutableMultiset.copyOf(executions), findings)
        .run(ImmutableList.of(operation));
    return findings.faults();
  }
}
