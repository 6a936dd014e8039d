package io.briarward.core.retry;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks with Lincheck that a budget is linearizable. */
public class RetryBudgetTest {
  private static final int ITERATIONS = 5;
  private static final int INVOCATIONS = 500;

  private final RetryBudget budget = RetryBudget.create(0.5, 2);

  /** Records a request on the budget under test. */
  @Operation
  public void onRequest() {
    budget.onRequest();
  }

  /** Takes a token of the budget under test. */
  @Operation
  public boolean tryTake() {
    return budget.tryTake();
  }

  @Test
  void concurrentUseIsLinearizable() {
    new StressOptions()
        .iterations(ITERATIONS)
        .invocationsPerIteration(INVOCATIONS)
        .threads(2)
        .actorsPerThread(3)
        .check(RetryBudgetTest.class);
  }
}
