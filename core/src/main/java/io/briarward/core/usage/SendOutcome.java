package io.briarward.core.usage;

/** The receiver's answer to a report. */
public enum SendOutcome {
  /** The receiver stored the figures, now or for an earlier report. */
  ACCEPTED,
  /** The receiver stored different figures before, which an operator must investigate. */
  DIFFERENT_FIGURES,
  /** The receiver has seen a higher fencing number. */
  STALE_FENCING_NUMBER
}
