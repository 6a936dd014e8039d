package io.briarward.cli;

import io.briarward.platform.StartTrial;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

/** Starts a platform node on loopback and stops it, for the build's class data archive. */
final class StartTrialCommand implements Command {
  @Override
  public String summary() {
    return "starts a platform node on loopback and stops it, so that its classes can be archived";
  }

  @Override
  public int run() throws Exception {
    var unused =
        StartTrial.run(
            Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)));
    return ExitCodes.OK;
  }
}
