package io.briarward.node.gateway;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.errors.Failure;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;

/** Encodes failures as responses to callers. */
public interface CallerProtocol {
  /**
   * Responds with {@code failure}; does nothing if a response has already started.
   *
   * @return completes once the response is written
   */
  @CanIgnoreReturnValue
  Future<Void> fail(HttpServerRequest request, Failure failure);
}
