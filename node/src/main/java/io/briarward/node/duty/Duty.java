package io.briarward.node.duty;

/** A duty that the holder of its lease carries out, step by step. */
interface Duty {
  /** Returns the name, which is the key of the lease's row. */
  String name();

  /** Returns the lease. */
  LeaseLoop lease();

  /** Returns whether nothing that was sent under the lease waits for its answer. */
  boolean idle();

  /** Starts what is due and returns without waiting. */
  void step();
}
