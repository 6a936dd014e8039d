package io.briarward.core.usage;

/** What the receiver of a report answered. */
public enum SendOutcome {
  /** The figures are taken, now or before. */
  ACCEPTED,
  /** Other figures were taken before, so that somebody has to look into it. */
  DIFFERENT_FIGURES,
  /** The fencing number is outdated. */
  STALE_FENCING_NUMBER
}
