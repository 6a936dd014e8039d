package io.briarward.node.duty;

/** A task that only the holder of its lease carries out, one step at a time. */
interface Duty {
  /** Returns the name of the duty, which is the key of its lease's row. */
  String name();

  /** Returns the lease that covers this duty. */
  LeaseRunner lease();

  /** Returns whether no call sent under the lease is in flight. */
  boolean isIdle();

  /** Starts the operations that are due, without waiting for their results. */
  void step();
}
