package io.briarward.core.lease;

/** The outcome of the writes that a caller passed to {@link LeaseMachine#poll}. */
public enum LeaseWriteOutcome {
  /** The result did not determine the outcome of any writes. */
  NONE,
  /** The writes were committed while the lease was held. */
  COMMITTED,
  /** The writes were not committed and never will be. */
  REFUSED
}
