package io.briarward.cli;

/** The exit codes of the binary. */
final class ExitCodes {
  /** The command succeeded. */
  static final int OK = 0;

  /** The command ran and failed, for instance since a daemon refused it. */
  static final int FAILED = 1;

  /** The command line or a setting is wrong. */
  static final int USAGE = 2;

  /** A daemon cannot be reached. */
  static final int UNREACHABLE = 3;

  /** A check found a mistake. */
  static final int INVALID = 4;

  private ExitCodes() {}
}
