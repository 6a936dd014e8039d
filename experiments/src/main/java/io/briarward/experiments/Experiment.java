package io.briarward.experiments;

import java.io.PrintStream;

/** A measurement that prints a table; run by {@code bin/experiment NAME}. */
@FunctionalInterface
public interface Experiment {
  /**
   * Runs the measurement and prints its table.
   *
   * @param seed the seed of every random choice
   * @param out the stream that the table is printed to
   */
  void run(long seed, PrintStream out);
}
