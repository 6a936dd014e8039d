package io.briarward.cli;

import io.briarward.node.Node;
import io.briarward.node.settings.NodeSettings;
import io.briarward.node.telemetry.ProcessOutput;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;
import sun.misc.Signal;

/** Runs a node until it receives a signal to stop. */
final class NodeCommand implements Command {
  private final NodeSettings settings = new NodeSettings();

  @Override
  public String summary() {
    return "runs a node until SIGTERM; a second SIGTERM aborts the requests in flight";
  }

  @Override
  public Object options() {
    return settings;
  }

  @Override
  public int run() throws Exception {
    ProcessOutput.redirectSystemStreams();
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
    Node node = Node.start(vertx, settings.check()).blockingGet();
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicInteger signalCount = new AtomicInteger();
    Runnable onSignal =
        () -> {
          if (signalCount.incrementAndGet() == 1) {
            var unused = node.stop().subscribe(stopped::countDown);
          } else {
            node.cutOffAll();
          }
        };
    Signal.handle(new Signal("TERM"), unused -> onSignal.run());
    Signal.handle(new Signal("INT"), unused -> onSignal.run());
    stopped.await();
    Logger.info("stopped");
    return ExitCodes.OK;
  }
}
