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
import io.briarward.node.http.HttpAnswers;
import io.briarward.node.live.UpstreamSelector.Ending;
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
 * Carries one live request to an upstream and its answer back.
 *
 * <p>Confined to the event loop. It ends once: with a whole answer, a problem document or, when
 * part of an answer was passed on already, a broken connection.
 */
final class LiveExchange {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final LiveContext context;
  private final HttpServerRequest downstream;
  private final LiveRequest request;
  private final Span span;
  private final Set<String> failedUpstreams = new HashSet<>();
  private final AnswerObserver observer;
  private Disposable deadline = Disposable.disposed();
  private Optional<UpstreamSelector.Slot> slot = Optional.empty();
  private final AttemptLog attempts;
  private Disposable next = Disposable.disposed();
  private Optional<AdmissionGate.Admission> admission = Optional.empty();
  private Optional<HttpClientRequest> upstreamRequest = Optional.empty();
  private boolean finished;

  LiveExchange(
      LiveContext context,
      HttpServerRequest downstream,
      LiveRequest request,
      Span span,
      AnswerObserver observer) {
    this.context = context;
    this.downstream = downstream;
    this.request = request;
    this.span = span;
    this.observer = observer;
    // A body that streams cannot be sent twice.
    this.attempts = AttemptLog.create(request.idempotent() && request.body().isPresent());
  }

  /** Waits for admission and starts the first attempt. */
  void start() {
    context.active().add(this);
    context.metrics().inFlight(context.active().count());
    long waitMillis = Math.max(0, request.deadlineMillis() - context.nowMillis());
    deadline =
        context.scheduler().scheduleDirect(this::onDeadline, waitMillis, TimeUnit.MILLISECONDS);
    downstream.response().closeHandler(unused -> onCallerGone());
    downstream.response().exceptionHandler(unused -> onCallerGone());
    context.retryBudgets().of(request.service().id()).onRequest();
    next =
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
      attempt();
    }
  }

  private void endAdmission(Outcome outcome) {
    admission.ifPresent(admitted -> admitted.end(outcome));
    admission = Optional.empty();
  }

  void cutOffUnlessGranted(ServingTables tables) {
    Optional<ApiKey> key = request.caller().key();
    if (key.isPresent() && !tables.grants(key.get())) {
      fail(
          new Failure(
              ErrorKind.UNKNOWN_KEY, "the key was withdrawn", runState(), Optional.empty()));
    }
  }

  void cutOffIfKeyed() {
    if (request.caller().key().isPresent()) {
      fail(retryLater(ErrorKind.NOT_READY, "the node cannot tell whether the key is withdrawn"));
    }
  }

  void cutOffForStop() {
    Logger.warn("request {} cut off by the stop's time limit", request.id());
    fail(retryLater(ErrorKind.STOPPING, "the node stopped before the answer was whole"));
  }

  private void attempt() {
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
    checkStillAllowed();
    if (finished) {
      upstream.reset();
      return;
    }
    upstreamRequest = Optional.of(upstream);
    Span hop = context.tracing().startClientSpan("upstream", span);
    hop.setAttribute("upstream.id", slot.orElseThrow().upstream().id());
    copyHeaders(upstream, hop);
    attempts.onSending();
    upstream
        .response()
        .onComplete(unused -> hop.end())
        .onSuccess(response -> onResponse(upstream, response))
        .onFailure(cause -> onUpstreamFailed(upstream, cause));
    sendBody(upstream);
  }

  /** Ends a request that waited so long, perhaps in a frozen process, that it may not run now. */
  private void checkStillAllowed() {
    if (context.nowMillis() >= request.deadlineMillis()) {
      onDeadline();
    } else if (!context.keysUsable().getAsBoolean()) {
      cutOffIfKeyed();
    }
  }

  private void copyHeaders(HttpClientRequest upstream, Span hop) {
    HeaderRules.toUpstream(downstream.headers(), request.caller().secret())
        .forEach(header -> upstream.headers().add(header.getKey(), header.getValue()));
    upstream.putHeader("X-Request-Id", request.id());
    Tracing.inject(hop, upstream.headers());
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
    releaseSlot(Ending.FAILED);
    if (!finished) {
      retryOrFail(Failure.notRun(ErrorKind.UPSTREAM_FAILED, "upstream refused the connection"));
    }
  }

  private void onUpstreamFailed(HttpClientRequest upstream, Throwable cause) {
    if (finished || upstreamRequest.filter(current -> current == upstream).isEmpty()) {
      return;
    }
    boolean bodyTooLarge = HttpAnswers.failureOf(cause).kind() == ErrorKind.BODY_TOO_LARGE;
    releaseSlot(bodyTooLarge ? Ending.ABANDONED : Ending.FAILED);
    upstream.reset();
    upstreamRequest = Optional.empty();
    Failure failure =
        bodyTooLarge
            ? Failure.unknown(ErrorKind.BODY_TOO_LARGE, cause.getMessage())
            : Failure.unknown(ErrorKind.UPSTREAM_FAILED, "the upstream broke off");
    retryOrFail(failure);
  }

  /** Tries again only where a second run is allowed and can still be of use. */
  private void retryOrFail(Failure failure) {
    if (failure.kind() == ErrorKind.BODY_TOO_LARGE) {
      giveUp(failure);
      return;
    }
    RetryPolicy.FailedAttempt failed =
        new RetryPolicy.FailedAttempt(
            attempts, downstream.response().headWritten(), request.deadlineMillis(), 0);
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
    next =
        context
            .scheduler()
            .scheduleDirect(this::attempt, retry.delayMillis(), TimeUnit.MILLISECONDS);
    return true;
  }

  private boolean giveUp(Failure failure) {
    fail(new Failure(failure.kind(), failure.detail(), runState(), failure.retryAfterMillis()));
    return false;
  }

  private void onResponse(HttpClientRequest upstream, HttpClientResponse response) {
    if (finished) {
      upstream.reset();
      return;
    }
    boolean model = request.service().kind() == Service.Kind.MODEL;
    AnswerRelay relay =
        new AnswerRelay(
            downstream.response(),
            response,
            model,
            observer,
            new AnswerRelay.Events() {
              @Override
              public void whole(AnswerRelay done) {
                onAnswerWhole(done);
              }

              @Override
              public void broken(Throwable cause) {
                onUpstreamFailed(upstream, cause);
              }
            });
    relay.start();
  }

  private void onAnswerWhole(AnswerRelay relay) {
    if (finished) {
      return;
    }
    releaseSlot(Ending.ANSWERED);
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
    // The caller gets the last byte only after its usage outlives this VM.
    var unused =
        context
            .usage()
            .record(usage)
            .andThen(observer.beforeLastByte(relay.statusCode()))
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

  private void onCallerGone() {
    if (!finished) {
      finished = true;
      finish("caller-gone", Future.succeededFuture());
      upstreamRequest.ifPresent(HttpClientRequest::reset);
      observer.failed(runState());
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
    observer.failed(failure.runState());
    span.setStatus(StatusCode.ERROR, failure.kind().label());
    // Part of an answer must not look whole, so its connection is broken.
    Future<Void> written =
        downstream.response().headWritten()
            ? downstream.connection().close()
            : HttpAnswers.problem(downstream, failure);
    finish(failure.kind().label(), written);
  }

  /** Ends the request, which counts as running until its answer is written. */
  private void finish(String outcome, Future<Void> written) {
    finished = true;
    deadline.dispose();
    next.dispose();
    releaseSlot(Ending.ABANDONED);
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

  private void releaseSlot(Ending ending) {
    slot.ifPresent(
        taken -> {
          if (ending == Ending.FAILED) {
            failedUpstreams.add(taken.upstream().id());
          }
          taken.release(ending);
        });
    slot = Optional.empty();
  }
}
