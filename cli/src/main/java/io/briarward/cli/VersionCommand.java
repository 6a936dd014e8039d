package io.briarward.cli;

/** Prints the version. */
final class VersionCommand implements Command {
  private static final String VERSION = "0.1.0";

  @Override
  public String summary() {
    return "prints the version";
  }

  @Override
  public int run() {
    System.out.println("briarward " + VERSION);
    return ExitCodes.OK;
  }
}
