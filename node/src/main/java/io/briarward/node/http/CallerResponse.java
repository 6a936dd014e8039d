package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Longs;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import io.briarward.core.forwarding.ResponseHead;
import io.briarward.core.forwarding.ResponseWriter;
import io.briarward.node.telemetry.RepeatedErrors;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * The response to one request of a caller, to which an upstream's response is relayed.
 *
 * <p>It is sent whole or broken off by closing the connection, see {@link ResponseWriter}. Confined
 * to the event loop.
 */
public final class CallerResponse {
  /** Any number of callers may leave in the middle of a response, and each write fails then. */
  private static final RepeatedErrors FAILED_WRITES = RepeatedErrors.withInterval(10_000);

  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final ResponseWriter<Buffer> writer;
  private Future<Void> written = Future.succeededFuture();

  private CallerResponse(HttpServerRequest request) {
    this.request = checkNotNull(request, "request");
    this.response = request.response();
    this.writer = ResponseWriter.create(new Connection());
  }

  /** Returns the response to a request; create one for each request. */
  public static CallerResponse to(HttpServerRequest request) {
    return new CallerResponse(request);
  }

  /** Returns whether nothing was sent, so that another response can still be sent. */
  public boolean isOpen() {
    return writer.state() == ResponseWriter.State.OPEN;
  }

  /** Calls {@code action} when the connection ends; the response cannot be sent afterwards. */
  public void onDisconnected(Runnable action) {
    response.closeHandler(unused -> disconnected(action));
    response.exceptionHandler(unused -> disconnected(action));
  }

  private void disconnected(Runnable action) {
    writer.onClosed();
    action.run();
  }

  /**
   * Begins to relay an upstream's response, in place of an earlier one; its head is sent with the
   * first bytes of the body.
   *
   * <p>Breaks the response off if a part of an earlier one was sent.
   */
  public Relayed relay(HttpClientResponse upstream) {
    ResponseHead head =
        ResponseHead.relayed(
            upstream.statusCode(),
            upstream.headers(),
            contentLength(upstream),
            request.method() == HttpMethod.HEAD);
    return new Relayed(upstream, writer.begin(head));
  }

  /** Returns the announced length of an upstream's body, in bytes. */
  public static OptionalLong contentLength(HttpClientResponse upstream) {
    return Optional.ofNullable(upstream.getHeader("Content-Length"))
        .map(Longs::tryParse)
        .filter(length -> length >= 0)
        .map(OptionalLong::of)
        .orElse(OptionalLong.empty());
  }

  /**
   * Sends a failure in place of the response, or breaks the response off if its head was sent.
   *
   * @param sendFailure sends the whole failure
   * @return completes once the failure is written or the connection is closed
   */
  @CanIgnoreReturnValue
  public Future<Void> fail(Supplier<Future<Void>> sendFailure) {
    writer.replace(() -> written = sendFailure.get());
    return written;
  }

  /** One upstream's response, which is sent while no other one has begun to be relayed. */
  public final class Relayed {
    private final HttpClientResponse upstream;
    private final ResponseWriter<Buffer>.Attempt attempt;

    private Relayed(HttpClientResponse upstream, ResponseWriter<Buffer>.Attempt attempt) {
      this.upstream = upstream;
      this.attempt = attempt;
    }

    /** Sends a chunk of the body, and pauses the upstream while the caller does not keep up. */
    public void write(Buffer chunk) {
      if (attempt.write(chunk, chunk.length()) && response.writeQueueFull()) {
        upstream.pause();
        response.drainHandler(unused -> upstream.resume());
      }
    }

    /**
     * Sends the last chunk of the body and ends the response.
     *
     * @return completes once the response is written; fails if it was broken off
     */
    @CanIgnoreReturnValue
    public Future<Void> end(Buffer lastChunk) {
      return attempt.end(lastChunk, lastChunk.length())
          ? written
          : Future.failedFuture("the response was broken off");
    }
  }

  private static void logFailedWrite(Throwable cause) {
    FAILED_WRITES
        .onError(cause.getClass().getName(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
        .ifPresent(
            count ->
                Logger.warn(
                    "closing a connection on which a write failed, {} times, last with {}",
                    count,
                    cause.toString()));
  }

  private final class Connection implements ResponseWriter.Sink<Buffer> {
    @Override
    public void sendHead(ResponseHead head) {
      response.setStatusCode(head.status());
      head.headers().forEach(header -> response.headers().add(header.getKey(), header.getValue()));
      head.contentLength()
          .ifPresent(length -> response.putHeader("Content-Length", Long.toString(length)));
      if (head.isChunked()) {
        response.setChunked(true);
      }
    }

    @Override
    public void sendChunk(Buffer chunk) {
      closeOnFailure(response.write(chunk));
    }

    @Override
    public void sendLast(Buffer chunk) {
      written = response.closed() ? Future.succeededFuture() : closeOnFailure(response.end(chunk));
    }

    /**
     * Closes the connection if a write fails, for example for want of direct memory; the bytes that
     * follow would otherwise take the place of those that are missing.
     */
    @CanIgnoreReturnValue
    private Future<Void> closeOnFailure(Future<Void> write) {
      return write.onFailure(
          cause -> {
            logFailedWrite(cause);
            close();
          });
    }

    /**
     * Closes the connection at once, though the caller may not read what was sent before.
     *
     * <p>A response to HTTP/1.0 may have neither a length nor chunks; only a reset shows that it is
     * incomplete.
     */
    @Override
    public void close() {
      Promise<Void> closed = Promise.promise();
      ChannelHandlerContext connection =
          ((HttpServerConnection) request.connection()).channelHandlerContext();
      if (request.version() == HttpVersion.HTTP_1_0) {
        connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
      }
      connection.close().addListener(unused -> closed.complete());
      written = closed.future();
    }
  }
}
