package io.briarward.cli;

import io.briarward.platform.PlatformNode;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import sun.misc.Signal;

/** Runs a node on the users' platform until it is told to stop. */
final class PlatformNodeCommand implements Command {
  @Override
  public String summary() {
    return "runs a node on the users' platform, by the file in " + PlatformNode.SETTINGS_VARIABLE;
  }

  @Override
  public int run() throws Exception {
    String path = System.getenv(PlatformNode.SETTINGS_VARIABLE);
    if (path == null) {
      System.err.println(PlatformNode.SETTINGS_VARIABLE + " is not set, expected a path");
      return ExitCodes.USAGE;
    }
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    PlatformNode node = PlatformNode.start(vertx, Path.of(path)).blockingGet();
    CountDownLatch stopped = new CountDownLatch(1);
    Signal.handle(
        new Signal("TERM"),
        unused -> {
          var stopping = node.stop().subscribe(stopped::countDown);
        });
    Signal.handle(new Signal("HUP"), unused -> node.reload());
    stopped.await();
    Logger.info("event=exit");
    return ExitCodes.OK;
  }
}
