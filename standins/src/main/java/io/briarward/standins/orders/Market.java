package io.briarward.standins.orders;

/** The pricing models of upstreams. */
enum Market {
  /** More expensive; runs until it is stopped. */
  ON_DEMAND,
  /** Cheaper; the platform may reclaim it at a few seconds' notice. */
  RECLAIMABLE
}
