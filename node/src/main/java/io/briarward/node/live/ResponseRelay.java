package io.briarward.node.live;

import io.briarward.core.forwarding.CompletionScanner;
import io.briarward.node.http.CallerResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Relays an upstream's response to the caller but withholds its last chunk until {@link #end}.
 *
 * <p>A response that ends early is reported as a failure and never ended. Confined to the event
 * loop.
 */
final class ResponseRelay {
  private final CallerResponse.Relayed relayed;
  private final HttpClientResponse upstream;
  private final ResponseObserver observer;
  private final Listener listener;
  private final Optional<CompletionScanner> scanner;
  private final OptionalLong contentLength;
  private Buffer lastChunk = Buffer.buffer();
  private long relayedBytes;

  /** Receives the outcome of the response. */
  interface Listener {
    /** Called once the response is complete; {@link ResponseRelay#end} sends its last chunk. */
    void onComplete(ResponseRelay relay);

    /** Called when the response ended before it was complete. */
    void onFailure(Throwable cause);
  }

  ResponseRelay(
      CallerResponse downstream,
      HttpClientResponse upstream,
      boolean isCompletion,
      ResponseObserver observer,
      Listener listener) {
    this.relayed = downstream.relay(upstream);
    this.upstream = upstream;
    this.observer = observer;
    this.listener = listener;
    this.contentLength = CallerResponse.contentLength(upstream);
    String contentType = Optional.ofNullable(upstream.getHeader("Content-Type")).orElse("");
    boolean succeeded = upstream.statusCode() == 200;
    this.scanner =
        isCompletion && succeeded
            ? Optional.of(CompletionScanner.of(contentType))
            : Optional.empty();
  }

  void start() {
    upstream.exceptionHandler(listener::onFailure);
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

  /** Sends the last chunk and ends the response; completes once it is written. */
  Future<Void> end() {
    return relayed.end(lastChunk);
  }

  private void onChunk(Buffer chunk) {
    observer.onChunk(chunk);
    scanner.ifPresent(each -> each.add(chunk.getBytes()));
    relayedBytes += chunk.length();
    if (contentLength.isPresent() && relayedBytes >= contentLength.getAsLong()) {
      lastChunk = chunk;
      return;
    }
    relayed.write(chunk);
  }

  private void onEnd() {
    scanner.ifPresent(CompletionScanner::end);
    boolean complete = scanner.map(CompletionScanner::complete).orElse(true);
    if (complete) {
      listener.onComplete(this);
    } else {
      listener.onFailure(
          new IllegalStateException("completion response ended without its end marker"));
    }
  }
}
