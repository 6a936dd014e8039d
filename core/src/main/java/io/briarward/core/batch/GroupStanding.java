package io.briarward.core.batch;

/** Whether a group of a batch can be useful to its caller, in the order in which groups start. */
public enum GroupStanding {
  /** It is among those that the caller waits for, and it can be complete when the batch is due. */
  ON_TIME,
  /** It is among those that the caller waits for, but it cannot be complete in time. */
  LATE,
  /** The caller waits for other groups, which are expected to be complete sooner. */
  SURPLUS
}
