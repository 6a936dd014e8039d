package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A node's report to the coordinator of a limit.
 *
 * @param limit the limit, as configured on the node
 * @param sequence the sequence number, which grows with every report of the node
 * @param demand the amount that the node would use without a limit
 * @param held the granted share that the node still uses; its concurrent requests are at least
 *     those that run above the floor
 */
public record ShareReport(Limit limit, long sequence, Share demand, Share held) {
  /** Checks the fields. */
  public ShareReport {
    checkNotNull(limit, "limit");
    checkNotNull(demand, "demand");
    checkNotNull(held, "held");
  }
}
