package io.briarward.cli;

import io.briarward.experiments.demo.DemoSettings;
import io.briarward.experiments.demo.FaultRun;

/** Sends requests to the processes that {@code bin/demo --faults} starts, kills and suspends. */
final class FaultRunCommand implements Command {
  private final DemoSettings settings = new DemoSettings();

  @Override
  public String summary() {
    return "sends requests while nodes are killed and suspended, and checks the history";
  }

  @Override
  public Object options() {
    return settings;
  }

  @Override
  public int run() throws Exception {
    return FaultRun.run(settings, System.out) ? ExitCodes.OK : ExitCodes.FAILED;
  }
}
