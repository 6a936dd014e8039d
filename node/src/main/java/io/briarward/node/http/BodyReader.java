package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;

/**
 * Reads complete request bodies with a size limit and a time-out.
 *
 * @param scheduler runs the time-out
 * @param timeoutMillis the time-out of reading one body, in milliseconds, > 0
 */
public record BodyReader(Scheduler scheduler, long timeoutMillis) {
  /** Validates the components. */
  public BodyReader {
    checkNotNull(scheduler, "scheduler");
    checkArgument(timeoutMillis > 0, "timeoutMillis is %s, expected > 0", timeoutMillis);
  }

  /**
   * Reads the complete body of {@code request}.
   *
   * <p>Fails with {@link ErrorKind#BODY_TOO_LARGE} as soon as the body exceeds {@code maxBytes},
   * and with {@link ErrorKind#DEADLINE_EXCEEDED} when the time-out expires.
   *
   * @param maxBytes the maximum size of the body, in bytes
   */
  public Single<Buffer> read(HttpServerRequest request, long maxBytes) {
    return readAll(request, maxBytes)
        .timeout(
            timeoutMillis,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(() -> failure(ErrorKind.DEADLINE_EXCEEDED, "the body came too slowly")));
  }

  private static Single<Buffer> readAll(HttpServerRequest request, long maxBytes) {
    return Single.create(
        emitter -> {
          Buffer body = Buffer.buffer();
          request.handler(
              chunk -> {
                if (body.length() + chunk.length() > maxBytes) {
                  request.handler(null);
                  request.pause();
                  String detail = "body is larger than " + maxBytes + " bytes";
                  emitter.tryOnError(failure(ErrorKind.BODY_TOO_LARGE, detail));
                } else {
                  body.appendBuffer(chunk);
                }
              });
          request.endHandler(unused -> emitter.onSuccess(body));
          request.exceptionHandler(emitter::tryOnError);
          request.resume();
        });
  }

  private static Throwable failure(ErrorKind kind, String detail) {
    return Failure.notRun(kind, detail).toException();
  }
}
