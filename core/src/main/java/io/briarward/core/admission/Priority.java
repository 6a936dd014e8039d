package io.briarward.core.admission;

/** The class of a request, which decides its part of contended capacity. */
public enum Priority {
  /** A caller waits for the answer. */
  LIVE(4),
  /** A sample of a rollout, whose trainer waits for the whole group. */
  ROLLOUT(1);

  private final double weight;

  Priority(double weight) {
    this.weight = weight;
  }

  /** Returns the part of contended capacity relative to the other class. */
  double weight() {
    return weight;
  }
}
