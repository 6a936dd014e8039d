package io.briarward.cli;

/** One command of the binary. */
interface Command {
  /** Returns one line for the list of commands. */
  String summary();

  /** Returns the object whose args4j options are filled in before the command runs. */
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
