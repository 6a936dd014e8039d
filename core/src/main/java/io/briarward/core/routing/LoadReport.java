package io.briarward.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What an upstream reported of its load, some time ago.
 *
 * @param running requests in its batch
 * @param queued requests waiting for a place in the batch
 * @param batchLimit how many requests it runs at once, at least 1
 * @param weightVersion the weight version it serves with, 0 when it has none
 * @param measuredAtMillis when it measured, on its own clock
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
