package io.briarward.standins.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Detects stale fencing numbers, which are those below the highest one received so far.
 *
 * <p>Not thread-safe.
 */
public final class FencingCheck {
  private final boolean rejectsStale;
  private final Faults faults;
  private long highest;
  private long staleSeen;
  private long staleAccepted;

  private FencingCheck(boolean rejectsStale, Faults faults) {
    this.rejectsStale = rejectsStale;
    this.faults = faults;
  }

  /**
   * Creates a check that has received no fencing number.
   *
   * @param rejectsStale whether orders with a stale fencing number are rejected
   */
  public static FencingCheck create(boolean rejectsStale, Faults faults) {
    return new FencingCheck(rejectsStale, faults);
  }

  /** Records the order's fencing number and returns whether the order is accepted. */
  public boolean tryAccept(long fencingNumber) {
    if (fencingNumber >= highest) {
      highest = fencingNumber;
      return true;
    }
    staleSeen++;
    boolean accepted = !rejectsStale || faults.isOn(Fault.IGNORE_FENCING);
    if (accepted) {
      staleAccepted++;
    }
    return accepted;
  }

  /** Returns the response to a rejected order. */
  public Response rejection(long fencingNumber) {
    return Response.error(
        409,
        "stale-fencing-number",
        fencingNumber + " is below the highest fencing number " + highest);
  }

  /** Adds the counters to {@code state}. */
  public void addCounters(ObjectNode state) {
    state.put("highestFencingNumber", highest);
    state.put("staleOrdersSeen", staleSeen);
    state.put("staleOrdersAccepted", staleAccepted);
  }
}
