package io.briarward.node;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.node.http.HttpAnswers;
import io.briarward.node.live.LiveProxy;
import io.briarward.node.telemetry.Metrics;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;

/**
 * Dispatches the requests on the port for callers and trainers.
 *
 * <p>Confined to the event loop.
 */
final class CallerServer {
  private static final long NOT_READY_RETRY_MILLIS = 1_000;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final LiveProxy live;
  private final TrainerApi trainer;
  private final Metrics metrics;
  private final BooleanSupplier ready;
  private final BooleanSupplier accepting;

  /**
   * Creates a server.
   *
   * @param ready whether load balancers should route requests to this node
   * @param accepting whether requests are accepted, also while the node is not ready
   */
  CallerServer(
      LiveProxy live,
      TrainerApi trainer,
      Metrics metrics,
      BooleanSupplier ready,
      BooleanSupplier accepting) {
    this.live = live;
    this.trainer = trainer;
    this.metrics = metrics;
    this.ready = ready;
    this.accepting = accepting;
  }

  void handle(HttpServerRequest request) {
    String path = request.path() == null ? "" : request.path();
    switch (path) {
      case "/livez" -> answerHealth(request, true);
      case "/readyz" -> answerHealth(request, ready.getAsBoolean());
      case "/metrics" ->
          request
              .response()
              .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
              .end(metrics.scrape());
      default -> dispatch(request, path);
    }
  }

  private void dispatch(HttpServerRequest request, String path) {
    boolean isTrainerRequest =
        path.equals("/v1/rollouts")
            || path.startsWith("/v1/rollouts/")
            || path.equals("/v1/weights");
    if (!accepting.getAsBoolean()) {
      HttpAnswers.problem(
          request,
          Failure.notRun(ErrorKind.NOT_READY, ErrorKind.NOT_READY.title(), NOT_READY_RETRY_MILLIS));
    } else if (isTrainerRequest) {
      request.pause();
      trainer.handle(request);
    } else {
      live.handle(request);
    }
  }

  private static void answerHealth(HttpServerRequest request, boolean healthy) {
    HttpAnswers.json(
        request,
        healthy ? OK : UNAVAILABLE,
        JsonNodeFactory.instance.objectNode().put("ok", healthy));
  }
}
