package io.briarward.core.errors;

/** Whether a request ran on an upstream, as reported to the caller in an error. */
public enum RunState {
  /** Nothing was sent to any upstream. */
  NOT_RUN("not-run"),
  /** An upstream ran the request. */
  RAN("ran"),
  /** Some bytes were sent to an upstream, but no complete answer was received. */
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
