package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

/**
 * A route of a deployment: the requests it matches, their target services and the retry rules.
 *
 * @param name unique within a configuration
 * @param host the host name in callers' requests, without a port
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind whether and how requests may be retried
 * @param targets the services with their shares, at least one
 * @param timeoutMillis the maximum time that a caller waits
 * @param goalMillis the time within which a response has its full value
 * @param maxAttempts the maximum number of upstreams that one request may run on
 * @param priority the priority of the requests, 0 for the most urgent
 * @param open whether callers need no key
 * @param dueMillis for batches: the time from submission until all results are due
 * @param maxWaitMillis for batches: the time from submission after which an unfinished item may be
 *     abandoned
 * @param singleVersion for batches: whether a single weight version must generate all of a result
 */
public record FleetRoute(
    String name,
    String host,
    String pathPrefix,
    Kind kind,
    ImmutableList<Target> targets,
    long timeoutMillis,
    long goalMillis,
    int maxAttempts,
    int priority,
    boolean open,
    long dueMillis,
    long maxWaitMillis,
    boolean singleVersion) {

  /** Whether and how the requests of a route may be retried. */
  public enum Kind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once. */
    NON_IDEMPOTENT,
    /** An event stream that another upstream may resume after the last event. */
    RESUMABLE_STREAM,
    /** Batches, whose items run in the background and may run more than once. */
    BATCH
  }

  /**
   * A service that receives a share of a route's requests.
   *
   * @param weight the share relative to the other targets, above 0
   */
  public record Target(String service, int weight) {
    /** Checks the fields. */
    public Target {
      checkNotNull(service, "service");
      checkArgument(weight > 0, "weight is %s, expected > 0", weight);
    }
  }

  /** Checks the fields. */
  public FleetRoute {
    checkNotNull(name, "name");
    checkNotNull(host, "host");
    checkNotNull(kind, "kind");
    checkArgument(
        pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
        "pathPrefix is %s, expected a slash at both ends",
        pathPrefix);
    checkArgument(!targets.isEmpty(), "targets is empty");
    checkArgument(timeoutMillis > 0, "timeoutMillis is %s, expected > 0", timeoutMillis);
    checkArgument(maxAttempts > 0, "maxAttempts is %s, expected > 0", maxAttempts);
  }

  /** Returns the service that runs all items of a batch; the targets' weights do not apply. */
  public String batchService() {
    return targets.get(0).service();
  }

  /** Returns the services that requests of this route may run at. */
  public ImmutableSet<String> services() {
    return targets.stream().map(Target::service).collect(ImmutableSet.toImmutableSet());
  }

  /** Returns whether a request may be retried even if it may have run. */
  public boolean repeatable() {
    return kind == Kind.IDEMPOTENT;
  }

  /**
   * Returns the target service for a request.
   *
   * @param draw a random number from 0, inclusive, to 1, exclusive
   */
  public String service(double draw) {
    int total = targets.stream().mapToInt(Target::weight).sum();
    double remaining = draw * total;
    for (Target target : targets) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
