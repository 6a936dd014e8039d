package io.briarward.core.lease;

/** What became of the writes that were handed in together with a renewal. */
public enum WorkOutcome {
  /** The event settled no writes. */
  NONE,
  /** The writes were applied while the lease was held. */
  COMMITTED,
  /** The writes were not applied and never will be. */
  REFUSED
}
