package io.briarward.core.capacity;

/** The market that an upstream is ordered on. */
public enum Market {
  /** The upstream runs until it is stopped. */
  ON_DEMAND,
  /** The upstream is cheaper, and the platform may reclaim it at a few seconds' notice. */
  RECLAIMABLE
}
