package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * A route of a deployment: which requests it takes, where they go and how they may be repeated.
 *
 * @param name unique within a configuration
 * @param host the host that callers name, without a port
 * @param pathPrefix begins and ends with a slash
 * @param kind how a request may be repeated
 * @param targets the services with their shares, at least one
 * @param timeoutMillis the longest time that a caller is kept waiting
 * @param goalMillis the time in which an answer has its full value
 * @param maxAttempts the largest number of upstreams that one request may run on
 * @param priority 0 is the most urgent
 * @param open whether callers need no key
 * @param dueMillis for batches: when all results are due, counted from the submission
 * @param maxWaitMillis for batches: when an item may be given up, counted from the submission
 * @param singleVersion for batches: whether one version of the weights must generate a whole result
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

  /** How the requests of a route may be repeated. */
  public enum Kind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT,
    /** An event stream that may go on at another upstream after its last event. */
    RESUMABLE_STREAM,
    /** Batches, whose items run later and may run more than once. */
    BATCH
  }

  /**
   * A service that takes a share of a route's requests.
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

  /** Returns the service that runs all items of a batch; weights between services do not apply. */
  public String batchService() {
    return targets.get(0).service();
  }

  /** Returns whether a request that may have run may be sent once more. */
  public boolean repeatable() {
    return kind == Kind.IDEMPOTENT;
  }

  /**
   * Returns the service for a request.
   *
   * @param draw a random number from 0, inclusive, to 1, exclusive
   */
  public String service(double draw) {
    int total = targets.stream().mapToInt(Target::weight).sum();
    double rest = draw * total;
    for (Target target : targets) {
      rest -= target.weight();
      if (rest < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
