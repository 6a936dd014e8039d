package io.briarward.cli;

import io.briarward.core.errors.ErrorKind;

/** Prints the error kinds with the HTTP response that each maps to. */
final class ErrorsCommand implements Command {
  @Override
  public String summary() {
    return "prints the error kinds and their HTTP responses";
  }

  @Override
  public int run() {
    System.out.printf("%-22s %-6s %-11s %s%n", "kind", "status", "Retry-After", "meaning");
    for (ErrorKind kind : ErrorKind.values()) {
      System.out.printf(
          "%-22s %-6d %-11s %s%n",
          kind.label(), kind.httpStatus(), kind.retryable() ? "yes" : "no", kind.title());
    }
    return ExitCodes.OK;
  }
}
