package io.briarward.node.http;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Reads the whole body of a request up to a limit. */
public final class BodyReader {
  private BodyReader() {}

  /**
   * Reads the body.
   *
   * <p>Fails with {@link ErrorKind#BODY_TOO_LARGE} as soon as the limit is passed.
   *
   * @param maxBytes the limit in bytes
   */
  public static Single<Buffer> read(HttpServerRequest request, long maxBytes) {
    return Single.create(
        emitter -> {
          Buffer body = Buffer.buffer();
          request.handler(
              chunk -> {
                if (body.length() + chunk.length() > maxBytes) {
                  request.handler(null);
                  request.pause();
                  emitter.tryOnError(tooLarge(maxBytes));
                } else {
                  body.appendBuffer(chunk);
                }
              });
          request.endHandler(unused -> emitter.onSuccess(body));
          request.exceptionHandler(emitter::tryOnError);
          request.resume();
        });
  }

  private static Throwable tooLarge(long maxBytes) {
    String detail = "body is larger than " + maxBytes + " bytes";
    return Failure.notRun(ErrorKind.BODY_TOO_LARGE, detail).toException();
  }
}
