package io.briarward.experiments;

import java.io.PrintStream;

/** One measurement, run by {@code bin/experiment NAME}. */
@FunctionalInterface
public interface Experiment {
  /**
   * Runs the measurement and prints its table.
   *
   * @param seed the seed of every random choice
   * @param out where the table goes
   */
  void run(long seed, PrintStream out);
}
