package io.briarward.node;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.node.http.HttpAnswers;
import io.briarward.node.live.LiveProxy;
import io.briarward.node.telemetry.Metrics;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;

/** Sorts the requests on the port for callers and trainers. */
final class CallerServer {
  private static final long NOT_READY_RETRY_MILLIS = 1_000;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final LiveProxy live;
  private final TrainerApi trainer;
  private final Metrics metrics;
  private final BooleanSupplier ready;
  private final BooleanSupplier serves;

  /**
   * Creates a server.
   *
   * @param ready whether the balancer should send work here
   * @param serves whether work that arrives all the same is taken
   */
  CallerServer(
      LiveProxy live,
      TrainerApi trainer,
      Metrics metrics,
      BooleanSupplier ready,
      BooleanSupplier serves) {
    this.live = live;
    this.trainer = trainer;
    this.metrics = metrics;
    this.ready = ready;
    this.serves = serves;
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
      default -> handleWork(request, path);
    }
  }

  private void handleWork(HttpServerRequest request, String path) {
    boolean ofTrainer =
        path.equals("/v1/rollouts")
            || path.startsWith("/v1/rollouts/")
            || path.equals("/v1/weights");
    if (!serves.getAsBoolean()) {
      HttpAnswers.problem(
          request,
          Failure.notRun(ErrorKind.NOT_READY, ErrorKind.NOT_READY.title(), NOT_READY_RETRY_MILLIS));
    } else if (ofTrainer) {
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
