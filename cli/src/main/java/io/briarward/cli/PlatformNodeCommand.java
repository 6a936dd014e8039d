package io.briarward.cli;

import io.briarward.node.telemetry.ProcessOutput;
import io.briarward.platform.PlatformNode;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.tinylog.Logger;
import sun.misc.Signal;

/** Runs a node on the users' platform until it receives a signal to stop. */
final class PlatformNodeCommand implements Command {
  @Override
  public String summary() {
    return "runs a node on the users' platform with the settings file that is named by "
        + PlatformNode.SETTINGS_VARIABLE;
  }

  @Override
  public int run() throws Exception {
    String path = System.getenv(PlatformNode.SETTINGS_VARIABLE);
    if (path == null) {
      System.err.println(
          PlatformNode.SETTINGS_VARIABLE + " is not set, expected the path of a settings file");
      return ExitCodes.USAGE;
    }
    ProcessOutput.redirectSystemStreams();
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicReference<PlatformNode> running = new AtomicReference<>();
    // Registers the handlers before the node starts, since the default action of both signals ends
    // the process with a nonzero exit code.
    Signal.handle(
        new Signal("HUP"),
        unused -> Optional.ofNullable(running.get()).ifPresent(PlatformNode::reload));
    Signal.handle(new Signal("TERM"), unused -> stop(running.get(), stopped));
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    running.set(PlatformNode.start(vertx, Path.of(path)).blockingGet());
    stopped.await();
    Logger.info("event=exit");
    return ExitCodes.OK;
  }

  private static void stop(PlatformNode node, CountDownLatch stopped) {
    if (node == null) {
      Logger.info("event=exit cause=\"stopped while starting\"");
      System.exit(ExitCodes.OK);
    }
    var unused = node.stop().subscribe(stopped::countDown);
  }
}
