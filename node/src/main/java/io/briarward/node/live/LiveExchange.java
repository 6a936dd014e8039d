package io.briarward.node.live;

import com.google.common.collect.ImmutableSet;
import io.briarward.core.admission.AdmissionControl.Outcome;
import io.briarward.core.admission.Priority;
import io.briarward.core.configuration.ApiKey;
import io.briarward.core.configuration.Service;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.RunState;
import io.briarward.core.forwarding.HeaderRules;
import io.briarward.core.retry.AttemptLog;
import io.briarward.core.retry.RetryDecision;
import io.briarward.core.retry.RetryPolicy;
import io.briarward.node.admission.AdmissionGate;
import io.briarward.node.http.CallerResponse;
import io.briarward.node.http.HttpAnswers;
import io.briarward.node.live.UpstreamSelector.AttemptOutcome;
import io.briarward.node.telemetry.Tracing;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Forwards one live request to an upstream and the response to the caller.
 *
 * <p>An exchange ends once: with a complete response, with a problem document or, if part of a
 * response was already relayed, by closing the connection. Confined to the event loop.
 */
final class LiveExchange {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Sent to upstreams; one that echoes it shows to which request a response belongs. */
  private static final String REQUEST_ID_HEADER = "X-Request-Id";

  private final LiveContext context;
  private final HttpServerRequest downstream;
  private final CallerResponse response;
  private final LiveRequest request;
  private final Span span;
  private final Set<String> failedUpstreams = new HashSet<>();
  private final ResponseObserver observer;
  private Disposable deadline = Disposable.disposed();
  private Optional<UpstreamSelector.Slot> slot = Optional.empty();
  private final AttemptLog attempts;
  private Disposable pendingStart = Disposable.disposed();
  private Optional<AdmissionGate.Admission> admission = Optional.empty();
  private Optional<HttpClientRequest> upstreamRequest = Optional.empty();
  private boolean finished;

  LiveExchange(
      LiveContext context,
      HttpServerRequest downstream,
      LiveRequest request,
      Span span,
      ResponseObserver observer) {
    this.context = context;
    this.downstream = downstream;
    this.response = CallerResponse.to(downstream);
    this.request = request;
    this.span = span;
    this.observer = observer;
    // A streamed body is not buffered, so it cannot be sent again.
    this.attempts = AttemptLog.create(request.idempotent() && request.body().isPresent());
  }

  /** Waits for admission and starts the first attempt. */
  void start() {
    context.active().add(this);
    context.metrics().inFlight(context.active().count());
    long waitMillis = Math.max(0, request.deadlineMillis() - context.nowMillis());
    deadline =
        context.scheduler().scheduleDirect(this::onDeadline, waitMillis, TimeUnit.MILLISECONDS);
    response.onDisconnected(this::onCallerDisconnected);
    context.retryBudgets().of(request.service().id()).onRequest();
    pendingStart =
        context
            .gate()
            .requestAdmission(
                request.service().id(),
                request.caller().organisation(),
                Priority.LIVE,
                request.route().weight(),
                request.deadlineMillis())
            .subscribe(this::onAdmitted, error -> fail(HttpAnswers.failureOf(error)));
  }

  private void onAdmitted(AdmissionGate.Admission admitted) {
    admission = Optional.of(admitted);
    if (finished) {
      endAdmission(Outcome.FAILED);
    } else {
      startAttempt();
    }
  }

  private void endAdmission(Outcome outcome) {
    admission.ifPresent(admitted -> admitted.end(outcome));
    admission = Optional.empty();
  }

  void abortUnlessGranted(ServingTables tables) {
    Optional<ApiKey> key = request.caller().key();
    if (key.isPresent() && !tables.grants(key.get())) {
      fail(
          new Failure(
              ErrorKind.UNKNOWN_KEY, "the key was withdrawn", runState(), Optional.empty()));
    }
  }

  void abortIfKeyed() {
    if (request.caller().key().isPresent()) {
      fail(retryLater(ErrorKind.NOT_READY, "the node cannot tell whether the key is withdrawn"));
    }
  }

  void abortForStop() {
    Logger.warn("request {} aborted: the node's stop time-out expired", request.id());
    fail(retryLater(ErrorKind.STOPPING, "the node stopped before the answer was whole"));
  }

  private void startAttempt() {
    attempts.onAttempt();
    Optional<UpstreamSelector.Slot> chosen =
        context
            .selector()
            .select(
                new UpstreamSelector.Selection(
                    request.service(),
                    request.partner().id(),
                    request.partner().reclaimableShare(),
                    request.prompt(),
                    request.deadlineMillis(),
                    ImmutableSet.copyOf(failedUpstreams)));
    if (chosen.isEmpty()) {
      fail(retryLater(ErrorKind.NO_UPSTREAM, "no upstream of " + request.service().id()));
      return;
    }
    slot = chosen;
    context
        .upstreams()
        .open(chosen.get().upstream(), downstream.method(), downstream.uri())
        .onSuccess(this::send)
        .onFailure(this::onConnectFailed);
  }

  private void send(HttpClientRequest upstream) {
    checkStillPermitted();
    if (finished) {
      upstream.reset();
      return;
    }
    upstreamRequest = Optional.of(upstream);
    Span clientSpan = context.tracing().startClientSpan("upstream", span);
    clientSpan.setAttribute("upstream.id", slot.orElseThrow().upstream().id());
    copyHeaders(upstream, clientSpan);
    attempts.onSending();
    upstream
        .response()
        .onComplete(unused -> clientSpan.end())
        .onSuccess(response -> onResponse(upstream, response))
        .onFailure(cause -> onUpstreamFailed(upstream, cause));
    sendBody(upstream);
  }

  /**
   * Ends a request whose deadline has expired or whose key can no longer be checked.
   *
   * <p>This happens when the request waited long, for example while the process was suspended.
   */
  private void checkStillPermitted() {
    if (context.nowMillis() >= request.deadlineMillis()) {
      onDeadline();
    } else if (!context.keysUsable().getAsBoolean()) {
      abortIfKeyed();
    }
  }

  private void copyHeaders(HttpClientRequest upstream, Span clientSpan) {
    HeaderRules.toUpstream(downstream.headers(), request.caller().secret())
        .forEach(header -> upstream.headers().add(header.getKey(), header.getValue()));
    upstream.putHeader(REQUEST_ID_HEADER, request.id());
    Tracing.inject(clientSpan, upstream.headers());
  }

  private void sendBody(HttpClientRequest upstream) {
    if (request.body().isPresent()) {
      upstream.end(request.body().get());
      return;
    }
    LiveRequestReader.contentLength(downstream)
        .ifPresentOrElse(
            length -> upstream.putHeader("Content-Length", Long.toString(length)),
            () -> upstream.setChunked(true));
    BoundedBodyPipe.start(
        downstream, upstream, context.maxBodyBytes(), cause -> onUpstreamFailed(upstream, cause));
  }

  private void onConnectFailed(Throwable cause) {
    releaseSlot(AttemptOutcome.FAILED);
    if (!finished) {
      retryOrFail(Failure.notRun(ErrorKind.UPSTREAM_FAILED, "upstream refused the connection"));
    }
  }

  private void onUpstreamFailed(HttpClientRequest upstream, Throwable cause) {
    if (finished || !isCurrent(upstream)) {
      return;
    }
    upstreamRequest = Optional.empty();
    upstream.reset();
    if (runState() == RunState.RAN) {
      return; // The upload fails if the upstream ends the connection after its whole response.
    }
    boolean bodyTooLarge = HttpAnswers.failureOf(cause).kind() == ErrorKind.BODY_TOO_LARGE;
    releaseSlot(bodyTooLarge ? AttemptOutcome.ABANDONED : AttemptOutcome.FAILED);
    Failure failure =
        bodyTooLarge
            ? Failure.unknown(ErrorKind.BODY_TOO_LARGE, cause.getMessage())
            : Failure.unknown(ErrorKind.UPSTREAM_FAILED, "the upstream broke off");
    retryOrFail(failure);
  }

  private boolean isCurrent(HttpClientRequest upstream) {
    return upstreamRequest.filter(current -> current == upstream).isPresent();
  }

  /** Schedules a retry if the retry policy allows one, and fails the request otherwise. */
  private void retryOrFail(Failure failure) {
    if (failure.kind() == ErrorKind.BODY_TOO_LARGE) {
      giveUp(failure);
      return;
    }
    RetryPolicy.FailedAttempt failed =
        new RetryPolicy.FailedAttempt(attempts, !response.isOpen(), request.deadlineMillis(), 0);
    RetryDecision decision =
        RetryPolicy.DEFAULT.onFailure(
            failed,
            context.retryBudgets().of(request.service().id()),
            ThreadLocalRandom.current(),
            context.nowMillis());
    boolean unused = decision.match(this::retryAfterDelay, reason -> giveUp(failure));
  }

  private boolean retryAfterDelay(RetryDecision.Retry retry) {
    context.metrics().retried(request.service().id());
    pendingStart =
        context
            .scheduler()
            .scheduleDirect(this::startAttempt, retry.delayMillis(), TimeUnit.MILLISECONDS);
    return true;
  }

  private boolean giveUp(Failure failure) {
    fail(new Failure(failure.kind(), failure.detail(), runState(), failure.retryAfterMillis()));
    return false;
  }

  private void onResponse(HttpClientRequest upstream, HttpClientResponse answer) {
    if (finished || !isCurrent(upstream)) {
      upstream.reset();
      return;
    }
    String answeredId = answer.getHeader(REQUEST_ID_HEADER);
    if (answeredId != null && !answeredId.equals(request.id())) {
      onUpstreamFailed(upstream, new IllegalStateException("response to another request"));
      return;
    }
    boolean isModel = request.service().kind() == Service.Kind.MODEL;
    ResponseRelay relay =
        new ResponseRelay(
            response,
            answer,
            isModel,
            observer,
            new ResponseRelay.Listener() {
              @Override
              public void onComplete(ResponseRelay done) {
                if (isCurrent(upstream)) {
                  onResponseComplete(done);
                }
              }

              @Override
              public void onFailure(Throwable cause) {
                onUpstreamFailed(upstream, cause);
              }
            });
    relay.start();
  }

  private void onResponseComplete(ResponseRelay relay) {
    if (finished) {
      return;
    }
    releaseSlot(AttemptOutcome.ANSWERED);
    attempts.onAnswered();
    UsageRecorder.Usage usage =
        new UsageRecorder.Usage(
            request.caller().organisation(),
            request.service().id(),
            "live",
            request.route().weight(),
            relay.promptTokens(),
            relay.completionTokens(),
            context.nowMillis() - request.startMillis());
    // The last chunk waits until the usage survives the loss of this VM or cannot be protected.
    var unused =
        context
            .usage()
            .record(usage)
            .andThen(observer.beforeLastChunk(relay.statusCode()))
            .onErrorComplete()
            .subscribe(
                () -> {
                  if (!finished) {
                    finish("ok", relay.end());
                  }
                });
  }

  private void onDeadline() {
    fail(retryLater(ErrorKind.DEADLINE_EXCEEDED, "no whole answer within the due time"));
  }

  private void onCallerDisconnected() {
    if (!finished) {
      finished = true;
      finish("caller-gone", Future.succeededFuture());
      upstreamRequest.ifPresent(HttpClientRequest::reset);
      observer.onFailed(runState());
    }
  }

  private Failure retryLater(ErrorKind kind, String detail) {
    return new Failure(kind, detail, runState(), Optional.of(RETRY_AFTER_MILLIS));
  }

  private RunState runState() {
    return attempts.runState();
  }

  private void fail(Failure failure) {
    if (finished) {
      return;
    }
    finished = true;
    upstreamRequest.ifPresent(HttpClientRequest::reset);
    observer.onFailed(failure.runState());
    span.setStatus(StatusCode.ERROR, failure.kind().label());
    finish(failure.kind().label(), response.fail(() -> HttpAnswers.problem(downstream, failure)));
  }

  /** Ends the request, which stays in flight until its response is written. */
  private void finish(String outcome, Future<Void> written) {
    finished = true;
    deadline.dispose();
    pendingStart.dispose();
    releaseSlot(AttemptOutcome.ABANDONED);
    endAdmission(outcome.equals("ok") ? Outcome.IN_TIME : Outcome.FAILED);
    written.onComplete(unused -> deregister(outcome));
  }

  private void deregister(String outcome) {
    context.active().remove(this);
    context.metrics().inFlight(context.active().count());
    double seconds = (context.nowMillis() - request.startMillis()) / 1e3;
    context.metrics().requestFinished(request.service().id(), outcome, seconds);
    span.end();
    Logger.debug(
        "request {} of {} for {}: {} after {} attempts",
        request.id(),
        request.caller(),
        request.service().id(),
        outcome,
        attempts.attempts());
  }

  private void releaseSlot(AttemptOutcome outcome) {
    slot.ifPresent(
        taken -> {
          if (outcome == AttemptOutcome.FAILED) {
            failedUpstreams.add(taken.upstream().id());
          }
          taken.release(outcome);
        });
    slot = Optional.empty();
  }
}
