package io.briarward.core.capacity;

/** The platform's answer to an order. */
public enum OrderOutcome {
  /** The order was accepted, by this request or an earlier one with the same id. */
  ACCEPTED,
  /** No upstream is available. */
  NO_CAPACITY,
  /** The fencing number is lower than one that the platform has seen. */
  STALE_FENCING_NUMBER
}
