package io.briarward.cli;

/** Signals that a daemon refused a request or cannot be reached. */
final class DaemonException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int exitCode;

  DaemonException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  int exitCode() {
    return exitCode;
  }
}
