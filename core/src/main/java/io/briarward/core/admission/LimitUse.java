package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A node's use of a limit.
 *
 * @param demand what it would use if there were no limit
 * @param running requests that run, which a smaller share does not end
 */
public record LimitUse(Share demand, int running) {
  /** No use at all. */
  public static final LimitUse NONE = new LimitUse(Share.ZERO, 0);

  /** Checks the fields. */
  public LimitUse {
    checkNotNull(demand, "demand");
    checkArgument(running >= 0, "running is %s, expected >= 0", running);
  }
}
