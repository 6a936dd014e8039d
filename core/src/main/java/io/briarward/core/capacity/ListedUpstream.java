package io.briarward.core.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An ordered upstream as the platform lists it.
 *
 * @param id the id assigned by the platform
 * @param orderId the id of the order that started it
 * @param service the id of the service that it runs
 * @param market the market it was ordered on
 * @param state the state reported by the platform
 * @param host its IP address
 * @param port its HTTP port
 * @param costPerHour the cost per hour
 */
public record ListedUpstream(
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
    /** The upstream is ordered but does not serve yet. */
    STARTING,
    /** The upstream serves requests. */
    RUNNING,
    /** The platform is about to reclaim the upstream. */
    RECLAIMING,
    /** The upstream is being stopped by an order. */
    STOPPING
  }

  /** Checks the fields. */
  public ListedUpstream {
    checkArgument(!id.isEmpty(), "id is empty");
    checkNotNull(orderId, "orderId");
    checkNotNull(service, "service");
    checkNotNull(market, "market");
    checkNotNull(state, "state");
    checkNotNull(host, "host");
  }

  /** Returns whether the upstream provides capacity now or will once it has started. */
  public boolean counts() {
    return state == State.STARTING || state == State.RUNNING;
  }
}
