package io.briarward.standins.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Remembers the highest fencing number and counts orders that carry a lower one. */
public final class FencingCheck {
  private final boolean refusesStale;
  private final Faults faults;
  private long highest;
  private long staleSeen;
  private long staleAccepted;

  private FencingCheck(boolean refusesStale, Faults faults) {
    this.refusesStale = refusesStale;
    this.faults = faults;
  }

  /** Returns a check that has seen no order. */
  public static FencingCheck create(boolean refusesStale, Faults faults) {
    return new FencingCheck(refusesStale, faults);
  }

  /** Counts the order and returns whether it is accepted. */
  public boolean accepts(long fencingNumber) {
    if (fencingNumber >= highest) {
      highest = fencingNumber;
      return true;
    }
    staleSeen++;
    boolean accepted = !refusesStale || faults.on(Fault.IGNORE_FENCING);
    if (accepted) {
      staleAccepted++;
    }
    return accepted;
  }

  /** Returns the answer to a refused order. */
  public Answer refusal(long fencingNumber) {
    return Answer.error(409, "stale-fencing-number", fencingNumber + " is below " + highest);
  }

  /** Adds the counters to the state. */
  public void describe(ObjectNode state) {
    state.put("highestFencingNumber", highest);
    state.put("staleOrdersSeen", staleSeen);
    state.put("staleOrdersAccepted", staleAccepted);
  }
}
