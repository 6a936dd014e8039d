package io.briarward.core.capacity;

/** The market that an upstream is ordered on. */
public enum Market {
  /** Kept until it is stopped. */
  ON_DEMAND,
  /** Cheaper, and taken back by the platform at a few seconds' notice. */
  RECLAIMABLE
}
