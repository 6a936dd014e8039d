package io.briarward.node.gateway;

import io.briarward.core.errors.Failure;
import io.vertx.core.http.HttpServerRequest;

/** What failures look like to callers. */
public interface CallerProtocol {
  /** Answers with a failure, unless an answer has begun. */
  void fail(HttpServerRequest request, Failure failure);
}
