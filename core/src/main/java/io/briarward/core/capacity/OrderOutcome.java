package io.briarward.core.capacity;

/** What the platform answered to an order. */
public enum OrderOutcome {
  /** The order is taken, now or before. */
  ACCEPTED,
  /** There is no upstream to give. */
  NO_CAPACITY,
  /** The fencing number is outdated. */
  STALE_FENCING_NUMBER
}
