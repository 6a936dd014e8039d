package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a route grants a batch, fixed when the batch is accepted.
 *
 * @param host the host that callers name
 * @param route the name of the route
 * @param service the service whose samplers run the items
 * @param maxAttempts the number of failures after which an item is lost
 * @param dueMillis when all results are due, counted from the submission
 * @param maxWaitMillis when an item may be given up, counted from the submission
 * @param singleVersion whether one version of the weights must generate a whole result
 */
public record BatchTerms(
    String host,
    String route,
    String service,
    int maxAttempts,
    long dueMillis,
    long maxWaitMillis,
    boolean singleVersion) {

  /** Checks the fields. */
  public BatchTerms {
    checkNotNull(host, "host");
    checkNotNull(route, "route");
    checkNotNull(service, "service");
    checkArgument(maxAttempts > 0, "maxAttempts is %s, expected > 0", maxAttempts);
    checkArgument(maxWaitMillis > 0, "maxWaitMillis is %s, expected > 0", maxWaitMillis);
  }
}
