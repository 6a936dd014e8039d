package io.briarward.node.live;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.FailureException;
import io.briarward.core.idempotency.IdempotencyDecision;
import io.briarward.core.idempotency.IdempotencyRecord;
import io.briarward.node.configuration.ConfigurationHolder;
import io.briarward.node.http.HttpAnswers;
import io.briarward.node.platform.TableService;
import io.opentelemetry.api.trace.Span;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;

/** Serves live requests. Confined to the event loop. */
public final class LiveProxy implements AutoCloseable {
  private static final long REPLAYABLE_BODY_BYTES = 64 << 10;
  private static final long KEYED_BODY_BYTES = 1 << 20;
  private static final long REFUSED_RETRY_MILLIS = 1_000;

  private final LiveContext context;
  private final LiveRequestReader reader;
  private final IdempotentRuns idempotentRuns;
  private final int maxConcurrent;
  private final Disposable configurationChanges;
  private ServingTables tables;
  private boolean stopping;

  private LiveProxy(
      LiveContext context,
      ConfigurationHolder configuration,
      TableService tableService,
      int maxConcurrent) {
    this.context = context;
    this.reader = new LiveRequestReader(context.maxBodyBytes());
    this.idempotentRuns = new IdempotentRuns(tableService);
    this.maxConcurrent = maxConcurrent;
    this.tables = ServingTables.of(configuration.current());
    this.configurationChanges =
        configuration.changes().map(ServingTables::of).subscribe(this::onConfiguration);
  }

  /** Returns a proxy that serves from the holder's configuration. */
  public static LiveProxy create(
      LiveContext context,
      ConfigurationHolder configuration,
      TableService tableService,
      int maxConcurrent) {
    return new LiveProxy(context, configuration, tableService, maxConcurrent);
  }

  /** Returns the tables of the configuration in force. */
  public ServingTables tables() {
    return tables;
  }

  /** Refuses new requests from now on. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Serves one request. */
  public void handle(HttpServerRequest request) {
    request.pause();
    Span span = context.tracing().startServerSpan("live", request.headers());
    try {
      checkAccepting();
      LiveRequest live = reader.read(request, tables, context.nowMillis());
      checkKeysUsable(live);
      span.setAttribute("organisation", live.caller().organisation());
      span.setAttribute("service", live.service().id());
      dispatch(request, live, span);
    } catch (FailureException e) {
      refuse(request, span, e);
    }
  }

  @Override
  public void close() {
    configurationChanges.dispose();
  }

  private void onConfiguration(ServingTables next) {
    tables = next;
    context.metrics().configurationVersion(next.version());
    context.active().cutOffWithdrawn(next);
  }

  private void checkAccepting() {
    if (stopping) {
      throw refused(ErrorKind.STOPPING);
    }
    if (context.active().count() >= maxConcurrent) {
      throw refused(ErrorKind.OVERLOADED);
    }
  }

  private void checkKeysUsable(LiveRequest live) {
    if (live.caller().key().isPresent() && !context.keysUsable().getAsBoolean()) {
      throw refused(ErrorKind.NOT_READY);
    }
  }

  private void dispatch(HttpServerRequest request, LiveRequest live, Span span) {
    Optional<String> idempotencyKey =
        Optional.ofNullable(request.getHeader("Idempotency-Key")).filter(key -> !live.idempotent());
    Optional<Long> length = LiveRequestReader.contentLength(request);
    boolean bodiless = length.isEmpty() && request.getHeader("Transfer-Encoding") == null;
    boolean small = length.filter(bytes -> bytes <= REPLAYABLE_BODY_BYTES).isPresent();
    if (idempotencyKey.isPresent()) {
      var unused =
          context
              .bodies()
              .read(request, KEYED_BODY_BYTES)
              .subscribe(
                  body -> claim(request, live.withBody(body), span, idempotencyKey.get()),
                  error -> refuse(request, span, error));
    } else if (bodiless) {
      request.resume();
      start(request, live.withBody(Buffer.buffer()), span, AnswerObserver.NONE);
    } else if (small) {
      var unused =
          context
              .bodies()
              .read(request, REPLAYABLE_BODY_BYTES)
              .subscribe(
                  body -> start(request, live.withBody(body), span, AnswerObserver.NONE),
                  error -> refuse(request, span, error));
    } else {
      start(request, live, span, AnswerObserver.NONE);
    }
  }

  private void claim(HttpServerRequest request, LiveRequest live, Span span, String key) {
    var unused =
        idempotentRuns
            .claim(request, live, key)
            .subscribe(
                claim -> onClaimed(request, live, span, claim),
                error -> refuse(request, span, error));
  }

  private void onClaimed(
      HttpServerRequest request, LiveRequest live, Span span, IdempotentRuns.Claim claim) {
    IdempotencyDecision decision = claim.decision();
    if (decision instanceof IdempotencyDecision.Replay replay) {
      replay(request, replay.answer());
      span.end();
    } else if (decision instanceof IdempotencyDecision.Reject refusal) {
      refuse(request, span, refusal.failure().toException());
    } else {
      start(request, live, span, idempotentRuns.observe(claim, request));
    }
  }

  private void start(
      HttpServerRequest request, LiveRequest live, Span span, AnswerObserver observer) {
    LiveExchange exchange = new LiveExchange(context, request, live, span, observer);
    exchange.start();
    // The key may have been withdrawn while the body was read.
    exchange.cutOffUnlessGranted(tables);
  }

  private static void replay(HttpServerRequest request, IdempotencyRecord.Answer answer) {
    request
        .response()
        .setStatusCode(answer.status())
        .putHeader("Content-Type", answer.contentType())
        .putHeader("Idempotent-Replay", "true")
        .end(Buffer.buffer(answer.body().orElse("")));
  }

  private static void refuse(HttpServerRequest request, Span span, Throwable cause) {
    HttpAnswers.problem(request, cause);
    span.end();
  }

  private static FailureException refused(ErrorKind kind) {
    return Failure.notRun(kind, kind.title(), REFUSED_RETRY_MILLIS).toException();
  }
}
