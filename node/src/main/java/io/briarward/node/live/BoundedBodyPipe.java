package io.briarward.node.live;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;

/**
 * Streams a request body of limited size to an upstream with back-pressure.
 *
 * <p>Confined to the event loop.
 */
final class BoundedBodyPipe {
  private final HttpServerRequest downstream;
  private final HttpClientRequest upstream;
  private final long maxBytes;
  private final Handler<Throwable> onFailure;
  private long sentBytes;

  private BoundedBodyPipe(
      HttpServerRequest downstream,
      HttpClientRequest upstream,
      long maxBytes,
      Handler<Throwable> onFailure) {
    this.downstream = downstream;
    this.upstream = upstream;
    this.maxBytes = maxBytes;
    this.onFailure = onFailure;
  }

  /**
   * Starts to stream the body of {@code downstream} to {@code upstream}.
   *
   * @param onFailure called when either connection fails or the body exceeds {@code maxBytes}
   */
  static void start(
      HttpServerRequest downstream,
      HttpClientRequest upstream,
      long maxBytes,
      Handler<Throwable> onFailure) {
    upstream.drainHandler(unused -> downstream.resume());
    upstream.exceptionHandler(onFailure);
    downstream.exceptionHandler(onFailure);
    BoundedBodyPipe pipe = new BoundedBodyPipe(downstream, upstream, maxBytes, onFailure);
    downstream.handler(pipe::onChunk);
    downstream.endHandler(unused -> upstream.end());
    downstream.resume();
  }

  private void onChunk(Buffer chunk) {
    sentBytes += chunk.length();
    if (sentBytes > maxBytes) {
      downstream.handler(null);
      downstream.endHandler(null);
      String detail = "body is larger than " + maxBytes + " bytes";
      onFailure.handle(Failure.unknown(ErrorKind.BODY_TOO_LARGE, detail).toException());
      return;
    }
    upstream.write(chunk);
    if (upstream.writeQueueFull()) {
      downstream.pause();
    }
  }
}
