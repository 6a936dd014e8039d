package io.briarward.node.http;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.concurrent.TimeUnit;

/**
 * Reads the bodies of responses within bounds, since a faulty server may send bytes without end.
 *
 * <p>Methods are called on the event loop of the response.
 */
public final class ResponseBodies {
  /** Far more than the text of a rejection. */
  private static final long MAX_DISCARDED_BYTES = 16 << 10;

  /** A rejection is sent at once; a body that takes longer is not worth its connection. */
  private static final long DISCARD_TIMEOUT_MILLIS = 1_000;

  private ResponseBodies() {}

  /**
   * Reads a whole body into memory.
   *
   * <p>Fails and closes the connection as soon as the body is larger than {@code maxBytes}.
   */
  public static Future<Buffer> read(
      HttpClientRequest request, HttpClientResponse response, long maxBytes) {
    Promise<Buffer> body = Promise.promise();
    Buffer received = Buffer.buffer();
    response.handler(
        chunk -> {
          if (received.length() + chunk.length() <= maxBytes) {
            received.appendBuffer(chunk);
          } else if (body.tryFail(tooLarge(maxBytes))) {
            request.reset();
          }
        });
    response.exceptionHandler(body::tryFail);
    response.endHandler(unused -> body.tryComplete(received));
    return body.future();
  }

  /**
   * Reads and discards a short body, so that the connection can be reused.
   *
   * <p>Closes the connection if the body is long or slow.
   */
  public static void discard(
      HttpClientRequest request, HttpClientResponse response, Scheduler scheduler) {
    Disposable timeout =
        scheduler.scheduleDirect(request::reset, DISCARD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    long[] discardedBytes = {0};
    response.handler(
        chunk -> {
          discardedBytes[0] += chunk.length();
          if (discardedBytes[0] > MAX_DISCARDED_BYTES) {
            timeout.dispose();
            request.reset();
          }
        });
    response.exceptionHandler(unused -> timeout.dispose());
    response.endHandler(unused -> timeout.dispose());
    response.resume();
  }

  private static Throwable tooLarge(long maxBytes) {
    return Failure.ran(ErrorKind.BODY_TOO_LARGE, "response body exceeds " + maxBytes + " bytes")
        .toException();
  }
}
