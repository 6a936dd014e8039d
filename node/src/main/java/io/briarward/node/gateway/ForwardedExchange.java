package io.briarward.node.gateway;

import com.google.common.base.Suppliers;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.fleet.UpstreamEntry;
import io.briarward.core.forwarding.HoldBack;
import io.briarward.core.quarantine.RequestFingerprint;
import io.briarward.core.streams.StreamOrigin;
import io.briarward.node.gateway.UpstreamProtocol.AnswerKind;
import io.briarward.node.http.BodySender;
import io.briarward.node.http.CallerResponse;
import io.briarward.node.http.ResponseBodies;
import io.briarward.node.http.StatusCodes;
import io.netty.channel.ConnectTimeoutException;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Forwards one live request to an upstream and the response to the caller.
 *
 * <p>The response to an idempotent request is held back until it is complete, up to a limit, so
 * that the request can be retried if the connection is lost. Other responses are streamed as they
 * arrive. Confined to the event loop.
 */
final class ForwardedExchange {
  /** The retry delay suggested to a caller whose request was not run, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 300;

  /**
   * The retry delay suggested to a caller whose request ended upstreams, in milliseconds; earlier
   * repeats are rejected as well.
   */
  private static final long QUARANTINE_RETRY_AFTER_MILLIS = 60_000;

  /** How long this node sends nothing to an upstream that rejected a request, in milliseconds. */
  private static final long REJECTION_PAUSE_MILLIS = 50;

  /** The number of rejections by upstreams, without running the request, at which it fails. */
  private static final int MAX_REJECTIONS = 6;

  /**
   * The minimum time-out of an attempt of an idempotent request, in milliseconds.
   *
   * <p>Longer than the slowest response of a healthy upstream, since the request is sent to another
   * upstream when it expires.
   */
  private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 300;

  /** The part of an answer to an idempotent request that is held back, in bytes. */
  private static final int MAX_HELD_BYTES = 256 << 10;

  /** The number of connections that may fail before another node is asked. */
  private static final int MAX_FAILED_CONNECTIONS = 3;

  private final LiveForwarder.Context context;
  private final HttpServerRequest downstream;
  private final CallerResponse response;
  private final LiveCall call;
  private final Consumer<ForwardedExchange> onFinished;
  private final Set<String> triedUpstreams = new HashSet<>();
  private final ExchangeLog log;
  private final ExchangeRelays relays;
  private final ExchangeOrigin origin;
  private final ExchangeAdmission admission;
  private final Supplier<RequestFingerprint> fingerprint;
  private String service;
  private Optional<Attempt> currentAttempt = Optional.empty();
  private Optional<Attempt> countedAttempt = Optional.empty();
  private Optional<BodySender> sender = Optional.empty();
  private Optional<HeldAnswer> heldAnswer = Optional.empty();
  private Optional<UpstreamEntry> lastUpstream = Optional.empty();
  private Disposable deadline = Disposable.disposed();
  private Disposable attemptTimeout = Disposable.disposed();
  private int attempts;
  private int rejections;
  private int failedConnections;
  private OptionalLong silentSinceMillis = OptionalLong.empty();
  private boolean mayHaveRun;
  private boolean finished;

  ForwardedExchange(
      LiveForwarder.Context context,
      HttpServerRequest downstream,
      LiveCall call,
      Consumer<ForwardedExchange> onFinished) {
    this.context = context;
    this.downstream = downstream;
    this.response = CallerResponse.to(downstream);
    this.call = call;
    this.onFinished = onFinished;
    this.log = new ExchangeLog(context, downstream, call);
    this.relays = new ExchangeRelays(context, downstream, call, response);
    this.origin = new ExchangeOrigin(context, call);
    this.admission = new ExchangeAdmission(context, call);
    this.fingerprint = Suppliers.memoize(call::fingerprint);
    this.service = call.route().service(ThreadLocalRandom.current().nextDouble());
  }

  private record Attempt(
      UpstreamEntry upstream,
      HttpClientRequest request,
      long sentAtMillis,
      long sentAtWallMillis) {}

  void start() {
    response.onDisconnected(this::onCallerDisconnected);
    long remainingMillis = Math.max(0, call.deadlineMillis() - context.nowMillis());
    deadline =
        context
            .scheduler()
            .scheduleDirect(this::onDeadline, remainingMillis, TimeUnit.MILLISECONDS);
    if (origin.isNeeded()) {
      origin.find(this::onOrigin, this::onOriginMissing, RETRY_AFTER_MILLIS);
    } else {
      startFirstAttempt();
    }
  }

  private void onOrigin(StreamOrigin found) {
    if (!finished) {
      service = found.service();
      startFirstAttempt();
    }
  }

  private void onOriginMissing(Failure failure) {
    if (!finished) {
      fail(failure);
    }
  }

  private void startFirstAttempt() {
    context.balancer().onArrival(service, context.nowMillis());
    startAttempt();
  }

  private void startAttempt() {
    if (!context.crashes().permits(fingerprint)) {
      giveUpQuarantined();
      return;
    }
    if (shouldRelay() && relay()) {
      return;
    }
    ImmutableSet<String> excluded = ImmutableSet.copyOf(triedUpstreams);
    Optional<UpstreamEntry> chosen =
        context
            .balancer()
            .choose(service, excluded, origin::permits, context.nowMillis())
            .or(
                () ->
                    context
                        .balancer()
                        .chooseIgnoringEjection(
                            service, excluded, origin::permits, context.nowMillis()));
    if (chosen.isEmpty()) {
      if (failedConnections > 0 && relay()) {
        return;
      }
      if (waits()) {
        return;
      }
      giveUp(
          context.balancer().hasLimited(service, context.nowMillis())
              ? "no upstream of " + service + " accepts requests within its limit"
              : "no upstream of " + service + " takes work");
      return;
    }
    UpstreamEntry upstream = chosen.get();
    long openedAtMillis = context.nowMillis();
    triedUpstreams.add(upstream.id());
    context.balancer().onSent(upstream.id());
    context
        .connections()
        .open(upstream, call.method(), call.uri())
        .onSuccess(request -> send(upstream, request))
        .onFailure(cause -> onConnectFailed(upstream, openedAtMillis, cause));
  }

  /**
   * Begins to wait for an upstream if one is expected to complete the request in time. The wait for
   * a share of a named limit cannot be predicted from the load.
   */
  private boolean waits() {
    return origin.failureIfLost().isEmpty()
        && !context.balancer().hasLimited(service, context.nowMillis())
        && admission.tryWait(service, this::startAgain);
  }

  /** Starts an attempt after a wait, in which upstreams that rejected the request may be free. */
  private void startAgain() {
    if (!finished) {
      triedUpstreams.clear();
      rejections = 0;
      startAttempt();
    }
  }

  private void send(UpstreamEntry upstream, HttpClientRequest request) {
    long nowMillis = context.nowMillis();
    if (finished || nowMillis >= call.deadlineMillis()) {
      request.reset();
      context.balancer().onReleased(upstream.id());
      return;
    }
    attempts++;
    lastUpstream = Optional.of(upstream);
    Attempt attempt = new Attempt(upstream, request, nowMillis, System.currentTimeMillis());
    currentAttempt = Optional.of(attempt);
    context
        .upstreamProtocol()
        .writeHeaders(request, call, upstream, call.deadlineMillis() - nowMillis);
    request
        .response()
        .onSuccess(answer -> onAnswer(attempt, answer))
        .onFailure(cause -> onConnectionLost(attempt, cause));
    sender = Optional.of(BodySender.send(request, call.body()));
    long timeoutMillis = Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, 2 * call.route().goalMillis());
    Runnable onTimeout =
        canRetry() ? () -> onAttemptTimeout(attempt) : () -> probeSilentUpstream(attempt);
    attemptTimeout =
        context.scheduler().scheduleDirect(onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Probes an upstream that has not responded to a request which cannot be sent to another one, so
   * that later requests are not sent to it in vain.
   */
  private void probeSilentUpstream(Attempt attempt) {
    boolean responded = countedAttempt.equals(Optional.of(attempt));
    boolean evacuated = context.balancer().evacuated().contains(attempt.upstream());
    if (isCurrent(attempt) && !responded && !evacuated) {
      context
          .connections()
          .probe(attempt.upstream())
          .onFailure(unused -> context.balancer().onUnreachable(attempt.upstream().id()));
    }
  }

  private boolean canRetry() {
    return call.route().repeatable() && attempts < call.maxAttempts();
  }

  /** Returns whether this node seems to have lost its links to the upstreams of the service. */
  private boolean shouldRelay() {
    return context.balancer().isCutOff(service)
        || lostContact()
        || failedConnections >= MAX_FAILED_CONNECTIONS;
  }

  /** Returns whether an upstream kept silent and no other one was heard of meanwhile. */
  private boolean lostContact() {
    return silentSinceMillis.isPresent()
        && !context.balancer().hadContactSince(service, silentSinceMillis.getAsLong());
  }

  /**
   * Sends the request to another node that reaches the service.
   *
   * @return whether there is such a node and the request may still run
   */
  private boolean relay() {
    boolean mayRun = attempts < call.maxAttempts() && (!mayHaveRun || call.route().repeatable());
    return mayRun && relays.start(service, call.maxAttempts() - attempts, new RelayListener());
  }

  private final class RelayListener implements RelayedAttempt.Listener {
    @Override
    public void onNotRun(HostAndPort node, String cause) {
      relays.onEnded(node, false);
      log.relay(node, service, "not-run", cause);
      startAttempt();
    }

    @Override
    public void onBroken(HostAndPort node, String cause) {
      relays.onEnded(node, false);
      log.relay(node, service, "broken", cause);
      attempts++;
      mayHaveRun = true;
      if (response.isOpen() && canRetry()) {
        startAttempt();
      } else {
        giveUp("the node that ran the request broke off");
      }
    }

    @Override
    public void onRelayed(HostAndPort node, boolean whole) {
      relays.onEnded(node, true);
      finish(whole ? "ok" : "broken", node.toString(), "run by another node");
    }
  }

  private void onConnectFailed(UpstreamEntry upstream, long openedAtMillis, Throwable cause) {
    failedConnections++;
    if (cause instanceof ConnectTimeoutException) {
      silentSinceMillis = OptionalLong.of(openedAtMillis);
    }
    context.balancer().onUnreachable(upstream.id());
    context.balancer().onFailed(upstream.id(), context.nowMillis());
    logAttempt(upstream, "connect-failed", cause.toString());
    if (!finished) {
      startAttempt();
    }
  }

  private void onAnswer(Attempt attempt, HttpClientResponse answer) {
    if (!isCurrent(attempt)) {
      return;
    }
    context.balancer().onContact(attempt.upstream().service(), context.nowMillis());
    AnswerKind kind = context.upstreamProtocol().classify(answer, call);
    if (kind != AnswerKind.FOREIGN) {
      context
          .upstreamProtocol()
          .notice(answer)
          .ifPresent(notice -> context.fleet().onNotice(attempt.upstream(), notice, call.id()));
    }
    if (kind == AnswerKind.NOT_RUN) {
      ResponseBodies.discard(attempt.request(), answer, context.scheduler());
      onNotRun(attempt, answer.statusCode());
    } else if (kind == AnswerKind.FOREIGN) {
      onAttemptFailed(attempt, "response belongs to another request");
    } else {
      relayAnswer(attempt, answer);
    }
  }

  private void onNotRun(Attempt attempt, int status) {
    endAttempt(attempt);
    attempts--;
    rejections++;
    context
        .balancer()
        .onRejected(attempt.upstream().id(), context.nowMillis(), REJECTION_PAUSE_MILLIS);
    logAttempt(attempt.upstream(), "not-run", "status " + status);
    if (rejections < MAX_REJECTIONS) {
      startAttempt();
    } else if (!waits()) {
      giveUp("upstreams of " + service + " are full");
    }
  }

  /**
   * Relays an answer.
   *
   * <p>The answer to an idempotent request is held back until it is whole or cannot be held, so
   * that another upstream can answer if this one breaks off or stalls. After its first bytes were
   * sent, the upstream, the deadline or the caller ends it.
   */
  private void relayAnswer(Attempt attempt, HttpClientResponse answer) {
    countRun(attempt);
    if (StatusCodes.isSuccess(answer.statusCode())) {
      origin.onSuccess(attempt.upstream());
    }
    log.relaying(answer.statusCode());
    HeldAnswer held =
        new HeldAnswer(
            response.relay(answer),
            HoldBack.of(context.heldAnswers(), call.route().repeatable() ? MAX_HELD_BYTES : 0));
    heldAnswer = Optional.of(held);
    answer.exceptionHandler(cause -> onConnectionLost(attempt, cause));
    answer.endHandler(unused -> onAnswerEnd(attempt, answer, held));
    answer.handler(
        chunk -> {
          if (isCurrent(attempt) && !held.add(chunk)) {
            // No other upstream may answer from here on.
            attemptTimeout.dispose();
          }
        });
  }

  private void onAnswerEnd(Attempt attempt, HttpClientResponse answer, HeldAnswer held) {
    if (!isCurrent(attempt)) {
      return;
    }
    if (response.isOpen() && answer.statusCode() >= 500 && canRetry()) {
      endAttempt(attempt);
      logAttempt(attempt.upstream(), "failed", "status " + answer.statusCode());
      context.balancer().onErrorResponse(attempt.upstream().id(), context.nowMillis());
      startAttempt();
      return;
    }
    if (answer.statusCode() < 500) {
      context.crashes().onCompleted(fingerprint);
    }
    endAttempt(attempt);
    context
        .balancer()
        .onAnswered(attempt.upstream().id(), context.nowMillis() - attempt.sentAtMillis());
    Future<Void> written = held.end();
    finish(written.failed() ? "broken" : "ok", attempt.upstream().id(), "");
  }

  private void onConnectionLost(Attempt attempt, Throwable cause) {
    if (isCurrent(attempt)) {
      context.crashes().onCrash(fingerprint.get(), attempt.upstream());
      onAttemptFailed(attempt, cause.toString());
    }
  }

  private void onAttemptFailed(Attempt attempt, String cause) {
    if (!isCurrent(attempt)) {
      return;
    }
    countRun(attempt);
    abandon(attempt, "broken", cause);
    context.balancer().onFailed(attempt.upstream().id(), context.nowMillis());
    if (response.isOpen() && canRetry()) {
      startAttempt();
    } else {
      giveUp("the upstream broke off");
    }
  }

  private void onAttemptTimeout(Attempt attempt) {
    if (isCurrent(attempt)) {
      mayHaveRun = true;
      silentSinceMillis = OptionalLong.of(attempt.sentAtMillis());
      context.balancer().onUnreachable(attempt.upstream().id());
      abandon(
          attempt,
          "silent",
          "no response after " + (context.nowMillis() - attempt.sentAtMillis()) + " ms");
      context.balancer().onFailed(attempt.upstream().id(), context.nowMillis());
      startAttempt();
    }
  }

  private void abandon(Attempt attempt, String outcome, String cause) {
    endAttempt(attempt);
    attempt.request().reset();
    logAttempt(attempt.upstream(), outcome, cause, fingerprint.get().toString());
  }

  private void endAttempt(Attempt attempt) {
    if (isCurrent(attempt)) {
      attemptTimeout.dispose();
      heldAnswer.ifPresent(HeldAnswer::close);
      currentAttempt = Optional.empty();
      sender.ifPresent(BodySender::cancelUnlessSent);
    }
  }

  private boolean isCurrent(Attempt attempt) {
    return !finished && currentAttempt.filter(each -> each == attempt).isPresent();
  }

  /** Counts an attempt as run, once. */
  private void countRun(Attempt attempt) {
    mayHaveRun = true;
    if (countedAttempt.equals(Optional.of(attempt))) {
      return;
    }
    countedAttempt = Optional.of(attempt);
    call.organisation()
        .ifPresent(organisation -> context.runs().onRun(organisation, attempt.sentAtWallMillis()));
  }

  private void giveUp(String detail) {
    if (mayHaveRun) {
      fail(Failure.unknown(ErrorKind.UPSTREAM_FAILED, detail));
      return;
    }
    long retryAfterMillis = admission.retryAfterMillis().orElseGet(this::limitedRetryAfterMillis);
    fail(
        origin
            .failureIfLost()
            .orElseGet(() -> Failure.notRun(ErrorKind.NO_UPSTREAM, detail, retryAfterMillis)));
  }

  private long limitedRetryAfterMillis() {
    return context.balancer().retryAfterMillis(service, context.nowMillis()).stream()
        .map(waitMillis -> Math.max(RETRY_AFTER_MILLIS, waitMillis))
        .findFirst()
        .orElse(RETRY_AFTER_MILLIS);
  }

  private void giveUpQuarantined() {
    String detail = "upstreams ended while they ran this request";
    if (mayHaveRun) {
      fail(Failure.unknown(ErrorKind.UPSTREAM_FAILED, detail));
    } else {
      fail(Failure.notRun(ErrorKind.QUARANTINED, detail, QUARANTINE_RETRY_AFTER_MILLIS));
    }
  }

  private void onDeadline() {
    endWithoutAnswer(
        ErrorKind.NO_UPSTREAM,
        "no upstream within the due time",
        "no whole answer within the due time");
  }

  /** Ends the request, since the node is about to end. */
  void onStopped() {
    endWithoutAnswer(
        ErrorKind.STOPPING,
        "the node stopped before the request was sent",
        "the node stopped before the answer was whole");
  }

  private void endWithoutAnswer(ErrorKind kindIfNotRun, String detailIfNotRun, String detail) {
    if (finished) {
      return;
    }
    if (mayHaveRun || currentAttempt.isPresent() || relays.inProgress()) {
      fail(Failure.unknown(ErrorKind.DEADLINE_EXCEEDED, detail));
    } else {
      fail(Failure.notRun(kindIfNotRun, detailIfNotRun, RETRY_AFTER_MILLIS));
    }
  }

  private void onCallerDisconnected() {
    if (!finished) {
      finish(
          "caller-gone", currentAttempt.map(attempt -> attempt.upstream().id()).orElse("none"), "");
    }
  }

  private void fail(Failure failure) {
    String upstream = currentAttempt.map(attempt -> attempt.upstream().id()).orElse("none");
    String outcome = response.isOpen() ? failure.kind().label() : "broken";
    response.fail(() -> context.callerProtocol().fail(downstream, failure));
    finish(outcome, upstream, failure.detail());
  }

  private void finish(String outcome, String target, String cause) {
    if (finished) {
      return;
    }
    finished = true;
    deadline.dispose();
    admission.cancel();
    attemptTimeout.dispose();
    heldAnswer.ifPresent(HeldAnswer::close);
    sender.ifPresent(BodySender::cancelUnlessSent);
    currentAttempt.ifPresent(
        attempt -> {
          attempt.request().reset();
          context.balancer().onReleased(attempt.upstream().id());
        });
    currentAttempt = Optional.empty();
    relays.cancel();
    log.finished(service, target, lastUpstream, outcome, cause, attempts, rejections);
    onFinished.accept(this);
  }

  /** Logs an attempt that failed; the request is tried again unless it is finished. */
  private void logAttempt(UpstreamEntry upstream, String outcome, String cause) {
    logAttempt(upstream, outcome, cause, "");
  }

  private void logAttempt(
      UpstreamEntry upstream, String outcome, String cause, String requestFingerprint) {
    log.attempt(upstream, attempts, outcome, cause, requestFingerprint);
    if (!finished) {
      context.metrics().retried(service);
    }
  }
}
