package io.briarward.node.live;

import com.google.common.primitives.Longs;
import io.briarward.core.forwarding.CompletionScanner;
import io.briarward.core.forwarding.HeaderRules;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;

/**
 * Passes an upstream's answer to the caller, holding back its last byte.
 *
 * <p>An answer that stops half-way is reported as broken and never ended. Confined to the event
 * loop.
 */
final class AnswerRelay {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final HttpServerResponse downstream;
  private final HttpClientResponse upstream;
  private final AnswerObserver observer;
  private final Events events;
  private final Optional<CompletionScanner> scanner;
  private final Optional<Long> contentLength;
  private Buffer held = Buffer.buffer();
  private long relayedBytes;

  /** What becomes of the answer. */
  interface Events {
    /** The whole answer is here; {@link AnswerRelay#end} lets its last byte go. */
    void whole(AnswerRelay relay);

    /** The answer stopped before it was whole. */
    void broken(Throwable cause);
  }

  AnswerRelay(
      HttpServerResponse downstream,
      HttpClientResponse upstream,
      boolean completion,
      AnswerObserver observer,
      Events events) {
    this.downstream = downstream;
    this.upstream = upstream;
    this.observer = observer;
    this.events = events;
    this.contentLength =
        Optional.ofNullable(upstream.getHeader("Content-Length")).map(Longs::tryParse);
    String contentType = Optional.ofNullable(upstream.getHeader("Content-Type")).orElse("");
    boolean succeeded = upstream.statusCode() == 200;
    this.scanner =
        completion && succeeded ? Optional.of(CompletionScanner.of(contentType)) : Optional.empty();
  }

  void start() {
    downstream.setStatusCode(upstream.statusCode());
    HeaderRules.toCaller(upstream.headers())
        .forEach(header -> downstream.headers().add(header.getKey(), header.getValue()));
    boolean bodiless = upstream.statusCode() == NO_CONTENT || upstream.statusCode() == NOT_MODIFIED;
    if (contentLength.isPresent()) {
      downstream.putHeader("Content-Length", Long.toString(contentLength.get()));
    } else if (!bodiless) {
      downstream.setChunked(true);
    }
    downstream.drainHandler(unused -> upstream.resume());
    upstream.exceptionHandler(events::broken);
    upstream.endHandler(unused -> onEnd());
    upstream.handler(this::onChunk);
  }

  int statusCode() {
    return upstream.statusCode();
  }

  long promptTokens() {
    return scanner.map(CompletionScanner::promptTokens).orElse(0L);
  }

  long completionTokens() {
    return scanner.map(CompletionScanner::completionTokens).orElse(0L);
  }

  /** Lets the last byte of the answer go; completes once it is written. */
  Future<Void> end() {
    return downstream.ended() || downstream.closed()
        ? Future.succeededFuture()
        : downstream.end(held);
  }

  private void onChunk(Buffer chunk) {
    observer.chunk(chunk);
    scanner.ifPresent(each -> each.add(chunk.getBytes()));
    relayedBytes += chunk.length();
    boolean last = contentLength.filter(length -> relayedBytes >= length).isPresent();
    if (last) {
      held = chunk;
      return;
    }
    downstream.write(chunk);
    if (downstream.writeQueueFull()) {
      upstream.pause();
    }
  }

  private void onEnd() {
    scanner.ifPresent(CompletionScanner::end);
    boolean whole = scanner.map(CompletionScanner::complete).orElse(true);
    if (whole) {
      events.whole(this);
    } else {
      events.broken(new IllegalStateException("the completion lacks its end marker"));
    }
  }
}
