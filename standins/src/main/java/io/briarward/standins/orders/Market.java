package io.briarward.standins.orders;

/** How an upstream is paid for. */
enum Market {
  /** Dear, and kept until it is stopped. */
  ON_DEMAND,
  /** Cheaper, and taken back at a few seconds' notice. */
  RECLAIMABLE
}
