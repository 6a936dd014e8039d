package io.briarward.cli;

import io.briarward.experiments.demo.Demo;
import io.briarward.experiments.demo.DemoSettings;

/** Sends requests to the processes that {@code bin/demo} started, and checks the results. */
final class DemoCommand implements Command {
  private final DemoSettings settings = new DemoSettings();

  @Override
  public String summary() {
    return "runs and checks a training step and live requests against running processes";
  }

  @Override
  public Object options() {
    return settings;
  }

  @Override
  public int run() throws Exception {
    return Demo.run(settings, System.out) ? ExitCodes.OK : ExitCodes.FAILED;
  }
}
