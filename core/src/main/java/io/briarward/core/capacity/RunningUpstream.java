package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An ordered upstream as the platform lists it.
 *
 * @param id the platform's id
 * @param orderId the order that started it
 * @param service the service it runs
 * @param market the market it was ordered on
 * @param state its state
 * @param host its address, an IP number
 * @param port its HTTP port
 * @param costPerHour what an hour costs
 */
public record RunningUpstream(
    String id,
    String orderId,
    String service,
    Market market,
    State state,
    String host,
    int port,
    double costPerHour) {
  /** The state of an ordered upstream. */
  public enum State {
    /** Ordered, does not serve yet. */
    STARTING,
    /** Serves. */
    RUNNING,
    /** About to be taken back by the platform. */
    RECLAIMING,
    /** Stopped by an order. */
    STOPPING
  }

  /** Checks the fields. */
  public RunningUpstream {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(orderId, "orderId");
    checkNotNull(service, "service");
    checkNotNull(market, "market");
    checkNotNull(state, "state");
    checkNotNull(host, "host");
  }

  /** Returns whether it counts as capacity, now or soon. */
  public boolean counts() {
    return state == State.STARTING || state == State.RUNNING;
  }
}
