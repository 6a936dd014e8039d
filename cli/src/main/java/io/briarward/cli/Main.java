package io.briarward.cli;

/** The entry point of the {@code briarward} binary. */
public final class Main {
  private Main() {}

  /** Runs the command named by the first argument. */
  public static void main(String[] args) {
    System.out.println("briarward 0.1.0");
  }
}
