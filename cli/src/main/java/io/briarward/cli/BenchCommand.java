package io.briarward.cli;

import io.briarward.experiments.bench.Bench;
import io.briarward.experiments.bench.BenchSettings;

/** Compares requests through a node with direct requests to an upstream. */
final class BenchCommand implements Command {
  private final BenchSettings settings = new BenchSettings();

  @Override
  public String summary() {
    return "compares requests through a node with direct requests to an upstream";
  }

  @Override
  public Object options() {
    return settings;
  }

  @Override
  public int run() throws Exception {
    Bench.run(settings, System.out);
    return ExitCodes.OK;
  }
}
