package io.briarward.node;

import io.vertx.core.http.HttpServerRequest;

/** Serves the trainers' requests under {@code /v1/rollouts} and {@code /v1/weights}. */
@FunctionalInterface
public interface TrainerApi {
  /** Serves a request, which the caller has paused. */
  void handle(HttpServerRequest request);
}
