package io.briarward.node.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.math.LongMath;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.core.json.JsonTrees;
import io.briarward.node.platform.PlatformException;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.math.RoundingMode;

/** Writes complete HTTP responses and problem documents. */
public final class HttpAnswers {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long STORE_RETRY_AFTER_MILLIS = 2_000;

  private HttpAnswers() {}

  /**
   * Writes a response with a JSON body.
   *
   * <p>Does nothing if the response has ended or its connection is closed.
   */
  public static void json(HttpServerRequest request, int status, JsonNode body) {
    HttpServerResponse response = request.response();
    if (response.ended() || response.closed()) {
      return;
    }
    response
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(Buffer.buffer(JsonTrees.write(body)));
  }

  /**
   * Writes a response without a body.
   *
   * <p>Does nothing if the response has ended or its connection is closed.
   */
  public static void empty(HttpServerRequest request, int status) {
    if (!request.response().ended() && !request.response().closed()) {
      request.response().setStatusCode(status).end();
    }
  }

  /**
   * Writes the problem document of {@code failure}.
   *
   * <p>Does nothing if a response has already started or the connection is closed. Closes the
   * connection after the response if the request body was not read completely.
   *
   * @return completes once the response is written
   */
  @CanIgnoreReturnValue
  public static Future<Void> problem(HttpServerRequest request, Failure failure) {
    HttpServerResponse response = request.response();
    if (response.headWritten() || response.closed()) {
      return Future.succeededFuture();
    }
    failure
        .retryAfterMillis()
        .ifPresent(
            millis -> response.putHeader("Retry-After", Long.toString(toSecondsRoundedUp(millis))));
    if (hasUnreadBody(request)) {
      response.putHeader("Connection", "close");
    }
    return response
        .setStatusCode(failure.kind().httpStatus())
        .putHeader("Content-Type", "application/problem+json")
        .end(Buffer.buffer(JsonTrees.write(problemDocument(failure))));
  }

  /** Writes the problem document of an exception. */
  public static void problem(HttpServerRequest request, Throwable cause) {
    problem(request, failureOf(cause));
  }

  /** Returns the failure that an exception represents. */
  public static Failure failureOf(Throwable cause) {
    if (cause instanceof FailureException known) {
      return known.failure();
    }
    if (cause instanceof PlatformException platform) {
      return Failure.notRun(
          ErrorKind.STORE_UNAVAILABLE, platform.getMessage(), STORE_RETRY_AFTER_MILLIS);
    }
    return Failure.unknown(ErrorKind.INTERNAL, ErrorKind.INTERNAL.title());
  }

  private static boolean hasUnreadBody(HttpServerRequest request) {
    boolean hasBody =
        request.getHeader("Content-Length") != null
            || request.getHeader("Transfer-Encoding") != null;
    return hasBody && !request.isEnded();
  }

  private static ObjectNode problemDocument(Failure failure) {
    ObjectNode document =
        JsonNodeFactory.instance
            .objectNode()
            .put("type", "urn:briarward:error:" + failure.kind().label())
            .put("title", failure.kind().title())
            .put("status", failure.kind().httpStatus())
            .put("detail", failure.detail())
            .put("kind", failure.kind().label())
            .put("run", failure.runState().label());
    failure.retryAfterMillis().ifPresent(millis -> document.put("retryAfterMillis", millis));
    return document;
  }

  private static long toSecondsRoundedUp(long millis) {
    return LongMath.divide(millis, MILLIS_PER_SECOND, RoundingMode.CEILING);
  }
}
