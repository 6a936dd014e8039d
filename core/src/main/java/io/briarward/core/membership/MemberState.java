package io.briarward.core.membership;

/**
 * The state of a VM.
 *
 * <p>Of two updates with the same incarnation, the one whose state is declared later takes
 * precedence.
 */
public enum MemberState {
  /** Accepts new work. */
  ALIVE,
  /** Completes its work and accepts no new work. */
  LEAVING,
  /** Does not answer probes; receives no new work until it does. */
  SUSPECT,
  /** Did not refute its suspicion within the suspicion time-out. */
  DEAD
}
