package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a node tells the home of a limit.
 *
 * @param limit the limit as the node knows it
 * @param sequence grows with every report of the node
 * @param demand what the node would use if there were no limit
 * @param held what the node was granted and still uses, or what runs there where that is more
 */
public record ShareReport(Limit limit, long sequence, Share demand, Share held) {
  /** Checks the fields. */
  public ShareReport {
    checkNotNull(limit, "limit");
    checkNotNull(demand, "demand");
    checkNotNull(held, "held");
  }
}
