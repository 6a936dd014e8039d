package io.briarward.core.errors;

/** Whether a request reached an upstream, as stated to the caller in an error. */
public enum RunState {
  /** Nothing was sent to any upstream. */
  NOT_RUN("not-run"),
  /** An upstream ran the request. */
  RAN("ran"),
  /** Some bytes were sent and no complete answer arrived. */
  UNKNOWN("unknown");

  private final String label;

  RunState(String label) {
    this.label = label;
  }

  /** Returns the value used in problem documents. */
  public String label() {
    return label;
  }
}
