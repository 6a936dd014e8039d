package io.briarward.standins.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The behaviour of a stand-in behind {@link StandInServer}.
 *
 * <p>All methods are called on the stand-in's event loop.
 */
public interface StandIn extends AutoCloseable {
  /**
   * Handles a request and responds to it, possibly after this method returns.
   *
   * @throws IllegalArgumentException if the request is malformed, which leads to status 400
   */
  void handle(Exchange exchange);

  /** Returns the counters and other state for {@code GET /control/state}. */
  ObjectNode state();

  /**
   * Called when the value of a fault is set.
   *
   * @param dataCentre the data centre that the fault applies to, or the empty string for all
   */
  default void onFaultChanged(Fault fault, double value, String dataCentre) {}

  /** Drops the state that a crashed process loses; the server closes the connections. */
  default void crash() {}

  /** Stops the timers. */
  @Override
  default void close() {}
}
