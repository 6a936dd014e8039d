package io.briarward.node.duty;

/** A duty that only maintains its lease; other classes do the work while it is held. */
record LeaseOnlyDuty(String name, LeaseRunner lease) implements Duty {
  @Override
  public boolean isIdle() {
    return true;
  }

  @Override
  public void step() {
    lease.step();
  }
}
