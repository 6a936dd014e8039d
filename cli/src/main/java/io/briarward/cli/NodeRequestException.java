package io.briarward.cli;

/** Thrown when a node rejects a request or cannot be reached. */
final class NodeRequestException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int exitCode;

  NodeRequestException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  int exitCode() {
    return exitCode;
  }
}
