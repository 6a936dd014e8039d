package io.briarward.node.duty;

/** A duty whose work is done elsewhere while its lease is held. */
record LeaseOnlyDuty(String name, LeaseLoop lease) implements Duty {
  @Override
  public boolean idle() {
    return true;
  }

  @Override
  public void step() {
    lease.step();
  }
}
