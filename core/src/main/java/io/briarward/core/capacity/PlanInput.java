package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.function.Predicate;

/**
 * What is known when a plan is made.
 *
 * @param needs the needs of each service in the data centre
 * @param idle whether an upstream, given by its id, runs and queues no request
 */
public record PlanInput(ImmutableList<ServiceNeed> needs, Predicate<String> idle) {
  /** Checks the fields. */
  public PlanInput {
    checkNotNull(needs, "needs");
    checkNotNull(idle, "idle");
  }
}
