package io.briarward.cli;

/** A subcommand of {@code briarward}. */
interface Command {
  /** Returns a one-line description for the list of commands. */
  String summary();

  /** Returns the object whose args4j options are set before the command runs. */
  default Object options() {
    return this;
  }

  /**
   * Runs the command.
   *
   * @return the exit code
   */
  int run() throws Exception;
}
