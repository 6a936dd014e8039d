package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The terms that a route grants a batch, fixed when the batch is accepted.
 *
 * @param host the host name in callers' requests
 * @param route the name of the route
 * @param service the service whose samplers run the items
 * @param maxAttempts the number of failed runs after which an item fails
 * @param dueMillis the time from submission until all results are due, in milliseconds
 * @param maxWaitMillis the time from submission after which an unfinished item may be abandoned, in
 *     milliseconds
 * @param singleVersion whether a single weight version must generate all of a result
 */
public record BatchTerms(
    String host,
    String route,
    String service,
    int maxAttempts,
    long dueMillis,
    long maxWaitMillis,
    boolean singleVersion) {

  /** Validates the components. */
  public BatchTerms {
    checkNotNull(host, "host");
    checkNotNull(route, "route");
    checkNotNull(service, "service");
    checkArgument(maxAttempts > 0, "maxAttempts is %s, expected > 0", maxAttempts);
    checkArgument(maxWaitMillis > 0, "maxWaitMillis is %s, expected > 0", maxWaitMillis);
  }
}
