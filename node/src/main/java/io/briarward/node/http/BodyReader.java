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
 * Reads the whole body of a request up to a limit, within a time limit.
 *
 * @param scheduler runs the time limit
 * @param timeoutMillis the longest time that a body may take
 */
public record BodyReader(Scheduler scheduler, long timeoutMillis) {
  /** Checks the fields. */
  public BodyReader {
    checkNotNull(scheduler, "scheduler");
    checkArgument(timeoutMillis > 0, "timeoutMillis is %s, expected > 0", timeoutMillis);
  }

  /**
   * Reads the body.
   *
   * <p>Fails with {@link ErrorKind#BODY_TOO_LARGE} as soon as the limit is passed and with {@link
   * ErrorKind#DEADLINE_EXCEEDED} when the time is up.
   *
   * @param maxBytes the limit in bytes
   */
  public Single<Buffer> read(HttpServerRequest request, long maxBytes) {
    return whole(request, maxBytes)
        .timeout(
            timeoutMillis,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(() -> failed(ErrorKind.DEADLINE_EXCEEDED, "the body came too slowly")));
  }

  private static Single<Buffer> whole(HttpServerRequest request, long maxBytes) {
    return Single.create(
        emitter -> {
          Buffer body = Buffer.buffer();
          request.handler(
              chunk -> {
                if (body.length() + chunk.length() > maxBytes) {
                  request.handler(null);
                  request.pause();
                  String detail = "body is larger than " + maxBytes + " bytes";
                  emitter.tryOnError(failed(ErrorKind.BODY_TOO_LARGE, detail));
                } else {
                  body.appendBuffer(chunk);
                }
              });
          request.endHandler(unused -> emitter.onSuccess(body));
          request.exceptionHandler(emitter::tryOnError);
          request.resume();
        });
  }

  private static Throwable failed(ErrorKind kind, String detail) {
    return Failure.notRun(kind, detail).toException();
  }
}
