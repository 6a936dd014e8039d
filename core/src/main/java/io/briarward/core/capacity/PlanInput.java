package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.function.Predicate;

/**
 * The input of a plan.
 *
 * @param needs the need of each service in the data centre
 * @param idle whether the upstream with the given id has no running or queued requests
 */
public record PlanInput(ImmutableList<ServiceNeed> needs, Predicate<String> idle) {
  /** Checks the fields. */
  public PlanInput {
    checkNotNull(needs, "needs");
    checkNotNull(idle, "idle");
  }
}
