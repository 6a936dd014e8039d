package io.briarward.node.gateway;

import io.briarward.core.errors.Failure;
import io.vertx.core.http.HttpServerRequest;

/** Encodes failures as responses to callers. */
public interface CallerProtocol {
  /** Responds with {@code failure}; does nothing if a response has already started. */
  void fail(HttpServerRequest request, Failure failure);
}
