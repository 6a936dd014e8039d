package io.briarward.node.live;

import io.briarward.core.retry.RetryBudget;
import java.util.HashMap;
import java.util.Map;

/** The retry budget of each service. Confined to the event loop. */
public final class RetryBudgets {
  private static final double RETRY_SHARE = 0.1;
  private static final double BUDGET_CAPACITY = 10;

  private final Map<String, RetryBudget> byService = new HashMap<>();

  private RetryBudgets() {}

  /** Creates a set of budgets, each of which starts full. */
  public static RetryBudgets create() {
    return new RetryBudgets();
  }

  RetryBudget of(String service) {
    return byService.computeIfAbsent(
        service, id -> RetryBudget.create(RETRY_SHARE, BUDGET_CAPACITY));
  }
}
