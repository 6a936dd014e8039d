package io.briarward.node.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import io.briarward.node.http.BodySender;
import io.briarward.node.http.CallerResponse;
import io.briarward.node.http.ResponseBodies;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Sends a live request to another node and relays that node's response to the caller.
 *
 * <p>The other node authorises, routes, retries and bills the request as if the caller had sent it
 * there. Confined to the event loop.
 */
final class RelayedAttempt {
  private final LiveForwarder.Context context;
  private final HttpServerRequest downstream;
  private final LiveCall call;
  private final HostAndPort node;
  private final CallerResponse response;
  private final int maxAttempts;
  private final Listener listener;
  private Optional<HttpClientRequest> request = Optional.empty();
  private Optional<BodySender> sender = Optional.empty();
  private Disposable silenceTimeout = Disposable.disposed();
  private boolean ended;

  /** Receives the end of the attempt; called once, unless the attempt was cancelled. */
  interface Listener {
    /** Handles a request that the other node surely did not run and will not run. */
    void onNotRun(HostAndPort node, String cause);

    /** Handles a request that may have run and whose response is missing or incomplete. */
    void onBroken(HostAndPort node, String cause);

    /** Handles a response that was relayed as far as the caller accepted it. */
    void onRelayed(HostAndPort node, boolean whole);
  }

  /**
   * Creates an attempt that has not started.
   *
   * @param node the address at which the other node accepts requests of nodes
   * @param maxAttempts the number of upstreams on which the other node may run the request, > 0
   */
  RelayedAttempt(
      LiveForwarder.Context context,
      HttpServerRequest downstream,
      LiveCall call,
      HostAndPort node,
      CallerResponse response,
      int maxAttempts,
      Listener listener) {
    this.context = checkNotNull(context, "context");
    this.downstream = checkNotNull(downstream, "downstream");
    this.call = checkNotNull(call, "call");
    this.node = checkNotNull(node, "node");
    this.response = checkNotNull(response, "response");
    this.maxAttempts = maxAttempts;
    this.listener = checkNotNull(listener, "listener");
  }

  void start() {
    context
        .relays()
        .open(node, call.method(), call.uri())
        .onSuccess(this::send)
        .onFailure(cause -> end(() -> listener.onNotRun(node, "connection failed: " + cause)));
  }

  /** Ends the attempt without a call of the listener. */
  void cancel() {
    ended = true;
    silenceTimeout.dispose();
    sender.ifPresent(BodySender::cancelUnlessSent);
    request.ifPresent(HttpClientRequest::reset);
  }

  private void send(HttpClientRequest opened) {
    long leftMillis = call.deadlineMillis() - context.nowMillis();
    if (ended || leftMillis <= 0) {
      opened.reset();
      end(() -> listener.onNotRun(node, "deadline exceeded"));
      return;
    }
    request = Optional.of(opened);
    context.upstreamProtocol().writeRelayHeaders(opened, downstream, call, maxAttempts, leftMillis);
    opened
        .response()
        .onSuccess(answer -> onAnswer(opened, answer))
        .onFailure(cause -> abort(cause.toString()));
    sender = Optional.of(BodySender.send(opened, call.body()));
    if (call.route().repeatable()) {
      // Half of what is left, so that a third node can still answer.
      silenceTimeout =
          context
              .scheduler()
              .scheduleDirect(() -> abort("no response"), leftMillis / 2, TimeUnit.MILLISECONDS);
    }
  }

  private void onAnswer(HttpClientRequest opened, HttpClientResponse answer) {
    if (ended) {
      return;
    }
    silenceTimeout.dispose();
    switch (context.upstreamProtocol().classifyRelayed(answer, call)) {
      case NOT_RUN -> {
        ResponseBodies.discard(opened, answer, context.scheduler());
        end(() -> listener.onNotRun(node, "status " + answer.statusCode()));
      }
      case FOREIGN -> abort("response belongs to another request or is a failure of the node");
      default -> relay(answer);
    }
  }

  private void relay(HttpClientResponse answer) {
    CallerResponse.Relayed relayed = response.relay(answer);
    answer.exceptionHandler(cause -> abort(cause.toString()));
    answer.handler(
        chunk -> {
          if (!ended) {
            relayed.write(chunk);
          }
        });
    answer.endHandler(
        unused -> end(() -> listener.onRelayed(node, !relayed.end(Buffer.buffer()).failed())));
  }

  private void abort(String cause) {
    request.ifPresent(HttpClientRequest::reset);
    end(() -> listener.onBroken(node, cause));
  }

  private void end(Runnable notification) {
    if (!ended) {
      ended = true;
      silenceTimeout.dispose();
      sender.ifPresent(BodySender::cancelUnlessSent);
      notification.run();
    }
  }
}
