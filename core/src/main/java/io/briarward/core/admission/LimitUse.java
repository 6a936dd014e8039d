package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A node's use of a limit.
 *
 * @param demand the amount that it would use without a limit
 * @param running the number of running requests; reducing the share does not end them
 */
public record LimitUse(Share demand, int running) {
  /** No demand and no running requests. */
  public static final LimitUse NONE = new LimitUse(Share.ZERO, 0);

  /** Checks the fields. */
  public LimitUse {
    checkNotNull(demand, "demand");
    checkArgument(running >= 0, "running is %s, expected >= 0", running);
  }
}
