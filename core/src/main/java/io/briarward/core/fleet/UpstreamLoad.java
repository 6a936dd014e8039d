package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalInt;

/**
 * The load that an upstream reports in a response.
 *
 * @param running the number of requests that run there, from all nodes together
 * @param waiting the number of requests that wait there for a slot
 * @param slots the number of requests that it runs at a time
 * @param slownessPercent how long work takes there at this moment, relative to the usual time,
 *     which is 100; empty if the upstream does not report it, in which case its requests are not
 *     paced
 */
public record UpstreamLoad(int running, int waiting, int slots, OptionalInt slownessPercent) {
  /** The largest number of running or waiting requests or of slots; larger ones are errors. */
  public static final int MAX_COUNT = 100_000;

  /** The highest slowness; an upstream that is slower does not answer in time anyway. */
  public static final int MAX_SLOWNESS_PERCENT = 100_000;

  /** Validates the components. */
  public UpstreamLoad {
    checkCount("running", running, 0);
    checkCount("waiting", waiting, 0);
    checkCount("slots", slots, 1);
    checkNotNull(slownessPercent, "slownessPercent");
    slownessPercent.ifPresent(
        percent ->
            checkArgument(
                percent > 0 && percent <= MAX_SLOWNESS_PERCENT,
                "slownessPercent is %s, expected 1 to %s",
                percent,
                MAX_SLOWNESS_PERCENT));
  }

  private static void checkCount(String name, int count, int min) {
    checkArgument(
        count >= min && count <= MAX_COUNT,
        "%s is %s, expected %s to %s",
        name,
        count,
        min,
        MAX_COUNT);
  }
}
