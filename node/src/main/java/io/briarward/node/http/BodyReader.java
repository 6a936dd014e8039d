package io.briarward.node.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Longs;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.memory.BodyBudget;
import io.briarward.core.memory.ByteBlocks;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Reads complete request bodies with a size limit, a time-out and a bound on all bodies together.
 *
 * <p>A body counts until the response to its request ends or the connection is closed. The reader
 * sets the end handler of the response.
 *
 * @param scheduler runs the time-out
 * @param timeoutMillis the time-out of reading one body, in milliseconds, > 0
 * @param budget the memory of all bodies that are kept
 */
public record BodyReader(Scheduler scheduler, long timeoutMillis, BodyBudget budget) {
  /** By then some requests have ended. */
  private static final long RETRY_AFTER_MILLIS = 500;

  /** The blocks that were received and the buffer that they are copied to. */
  private static final int BUFFER_COPIES = 2;

  /** Validates the components. */
  public BodyReader {
    checkNotNull(scheduler, "scheduler");
    checkArgument(timeoutMillis > 0, "timeoutMillis is %s, expected > 0", timeoutMillis);
    checkNotNull(budget, "budget");
  }

  /**
   * Reads the complete body of {@code request}.
   *
   * <p>Fails with {@link ErrorKind#BODY_TOO_LARGE} as soon as the body exceeds {@code maxBytes},
   * with {@link ErrorKind#BODIES_TOO_LARGE} as soon as it does not fit beside the others, before it
   * is read if it announces its length, and with {@link ErrorKind#DEADLINE_EXCEEDED} when the
   * time-out expires.
   *
   * @param maxBytes the maximum size of the body, in bytes
   * @param copies how many times the memory of the body is taken until the request ends, > 0
   */
  public Single<ByteBlocks> readBlocks(HttpServerRequest request, long maxBytes, int copies) {
    checkArgument(copies > 0, "copies is %s, expected > 0", copies);
    return Single.<ByteBlocks>create(
            emitter -> new Reading(request, maxBytes, copies, emitter).start())
        .timeout(
            timeoutMillis,
            TimeUnit.MILLISECONDS,
            scheduler,
            Single.error(() -> failure(ErrorKind.DEADLINE_EXCEEDED, "the body came too slowly")));
  }

  /** Reads the complete body of {@code request} into one buffer; fails as {@link #readBlocks}. */
  public Single<Buffer> read(HttpServerRequest request, long maxBytes) {
    return readBlocks(request, maxBytes, BUFFER_COPIES).map(BodySender::toBuffer);
  }

  private final class Reading {
    private final HttpServerRequest request;
    private final long maxBytes;
    private final int copies;
    private final SingleEmitter<ByteBlocks> emitter;
    private final OptionalLong announcedBytes;
    private final BodyBudget.Share share = budget.open();
    private final ByteBlocks body;

    Reading(
        HttpServerRequest request, long maxBytes, int copies, SingleEmitter<ByteBlocks> emitter) {
      this.request = request;
      this.maxBytes = maxBytes;
      this.copies = copies;
      this.emitter = emitter;
      this.announcedBytes = announcedBytes(request);
      this.body = ByteBlocks.create(announcedBytes);
    }

    void start() {
      request.response().endHandler(unused -> share.close());
      if (announcedBytes.isPresent() && !admit(announcedBytes.getAsLong(), 0)) {
        return;
      }
      request.handler(this::onChunk);
      request.endHandler(unused -> emitter.onSuccess(body));
      request.exceptionHandler(emitter::tryOnError);
      request.resume();
    }

    private void onChunk(Buffer chunk) {
      if (emitter.isDisposed()) {
        stop();
      } else if (admit(body.size() + chunk.length(), body.capacityWith(chunk.length()))) {
        body.append(chunk.length(), chunk::getBytes);
      }
    }

    private boolean admit(long bytes, long capacity) {
      if (bytes > maxBytes) {
        stop();
        emitter.tryOnError(
            failure(ErrorKind.BODY_TOO_LARGE, "body is larger than " + maxBytes + " bytes"));
        return false;
      }
      if (!share.admit(copies * Math.max(bytes, capacity))) {
        stop();
        emitter.tryOnError(
            Failure.notRun(
                    ErrorKind.BODIES_TOO_LARGE,
                    "a body of " + bytes + " bytes does not fit beside those of other requests",
                    RETRY_AFTER_MILLIS)
                .toException());
        return false;
      }
      return true;
    }

    private void stop() {
      share.close();
      request.handler(null);
      request.pause();
    }
  }

  private static OptionalLong announcedBytes(HttpServerRequest request) {
    return Optional.ofNullable(request.getHeader("Content-Length"))
        .map(Longs::tryParse)
        .filter(length -> length >= 0)
        .map(OptionalLong::of)
        .orElse(OptionalLong.empty());
  }

  private static Throwable failure(ErrorKind kind, String detail) {
    return Failure.notRun(kind, detail).toException();
  }
}
