package io.briarward.core.membership;

/**
 * What is known of a VM.
 *
 * <p>Of two states with the same incarnation, the later in this list wins.
 */
public enum MemberState {
  /** Takes new work. */
  ALIVE,
  /** Finishes its work and takes no new work. */
  LEAVING,
  /** Does not answer probes and is given no new work until it does. */
  SUSPECT,
  /** Did not answer for the whole suspicion period. */
  DEAD
}
