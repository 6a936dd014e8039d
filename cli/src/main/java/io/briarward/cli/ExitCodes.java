package io.briarward.cli;

/** The exit codes of the {@code briarward} command. */
final class ExitCodes {
  /** The command succeeded. */
  static final int OK = 0;

  /** The command failed, for instance because a node rejected a request. */
  static final int FAILED = 1;

  /** The command line or a setting is invalid. */
  static final int USAGE = 2;

  /** A node cannot be reached. */
  static final int UNREACHABLE = 3;

  /** The input is invalid. */
  static final int INVALID = 4;

  private ExitCodes() {}
}
