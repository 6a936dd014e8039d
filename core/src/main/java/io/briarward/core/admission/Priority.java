package io.briarward.core.admission;

/** The priority class of a request, which determines its portion of contended capacity. */
public enum Priority {
  /** A request whose caller waits for the answer. */
  LIVE(4),
  /** A sample of a rollout, whose trainer waits for the whole group. */
  ROLLOUT(1);

  private final double weight;

  Priority(double weight) {
    this.weight = weight;
  }

  /** Returns the weight of the class when classes contend for capacity. */
  double weight() {
    return weight;
  }
}
