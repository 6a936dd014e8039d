package io.briarward.standins.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What one stand-in does with the requests that are not controls.
 *
 * <p>All methods run on the stand-in's event loop.
 */
public interface StandIn extends AutoCloseable {
  /**
   * Answers a request, now or later.
   *
   * @throws IllegalArgumentException if the request is malformed, which is answered with 400
   */
  void handle(Call call);

  /** Returns the counters and what the stand-in saw, for {@code GET /control/state}. */
  ObjectNode state();

  /** Is told that a fault changed, with the data centre it is meant for, empty for all. */
  default void faultChanged(Fault fault, double value, String dataCentre) {}

  /** Loses what a process loses when it dies; every connection is closed as well. */
  default void crash() {}

  /** Stops timers. */
  @Override
  default void close() {}
}
