package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The load that an upstream measured and reported.
 *
 * @param running the number of requests in its batch
 * @param queued the number of requests waiting to join the batch
 * @param batchLimit the number of requests that it can run at once, at least 1
 * @param weightVersion the weight version that it serves, 0 if it has none
 * @param measuredAtMillis the time of the measurement, on the upstream's clock
 */
public record LoadReport(
    int running, int queued, int batchLimit, long weightVersion, long measuredAtMillis) {
  /** Checks the fields. */
  public LoadReport {
    checkArgument(running >= 0, "running is %s, expected >= 0", running);
    checkArgument(queued >= 0, "queued is %s, expected >= 0", queued);
    checkArgument(batchLimit >= 1, "batchLimit is %s, expected >= 1", batchLimit);
    checkArgument(weightVersion >= 0, "weightVersion is %s, expected >= 0", weightVersion);
  }
}
