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

/** Accepts live requests from callers and starts their exchanges. Confined to the event loop. */
public final class LiveProxy implements AutoCloseable {
  private static final long MAX_REPLAYABLE_BODY_BYTES = 64 << 10;
  private static final long MAX_KEYED_BODY_BYTES = 1 << 20;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final LiveContext context;
  private final LiveRequestReader reader;
  private final IdempotencyClaims idempotencyClaims;
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
    this.idempotencyClaims = new IdempotencyClaims(tableService);
    this.maxConcurrent = maxConcurrent;
    this.tables = ServingTables.of(configuration.current());
    this.configurationChanges =
        configuration.changes().map(ServingTables::of).subscribe(this::onConfiguration);
  }

  /** Creates a proxy that follows the given configuration. */
  public static LiveProxy create(
      LiveContext context,
      ConfigurationHolder configuration,
      TableService tableService,
      int maxConcurrent) {
    return new LiveProxy(context, configuration, tableService, maxConcurrent);
  }

  /** Returns the look-up tables of the current configuration. */
  public ServingTables tables() {
    return tables;
  }

  /** Rejects all requests from now on; requests in flight continue. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Handles one request. */
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
      reject(request, span, e);
    }
  }

  @Override
  public void close() {
    configurationChanges.dispose();
  }

  private void onConfiguration(ServingTables next) {
    tables = next;
    context.metrics().configurationVersion(next.version());
    context.active().abortWithdrawn(next);
  }

  private void checkAccepting() {
    if (stopping) {
      throw rejection(ErrorKind.STOPPING);
    }
    if (context.active().count() >= maxConcurrent) {
      throw rejection(ErrorKind.OVERLOADED);
    }
  }

  private void checkKeysUsable(LiveRequest live) {
    if (live.caller().key().isPresent() && !context.keysUsable().getAsBoolean()) {
      throw rejection(ErrorKind.NOT_READY);
    }
  }

  private void dispatch(HttpServerRequest request, LiveRequest live, Span span) {
    Optional<String> idempotencyKey =
        Optional.ofNullable(request.getHeader("Idempotency-Key")).filter(key -> !live.idempotent());
    Optional<Long> length = LiveRequestReader.contentLength(request);
    boolean hasNoBody = length.isEmpty() && request.getHeader("Transfer-Encoding") == null;
    boolean isReplayable = length.filter(bytes -> bytes <= MAX_REPLAYABLE_BODY_BYTES).isPresent();
    if (idempotencyKey.isPresent()) {
      var unused =
          context
              .bodies()
              .read(request, MAX_KEYED_BODY_BYTES)
              .subscribe(
                  body -> claim(request, live.withBody(body), span, idempotencyKey.get()),
                  error -> reject(request, span, error));
    } else if (hasNoBody) {
      request.resume();
      start(request, live.withBody(Buffer.buffer()), span, ResponseObserver.NONE);
    } else if (isReplayable) {
      var unused =
          context
              .bodies()
              .read(request, MAX_REPLAYABLE_BODY_BYTES)
              .subscribe(
                  body -> start(request, live.withBody(body), span, ResponseObserver.NONE),
                  error -> reject(request, span, error));
    } else {
      start(request, live, span, ResponseObserver.NONE);
    }
  }

  private void claim(HttpServerRequest request, LiveRequest live, Span span, String key) {
    var unused =
        idempotencyClaims
            .claim(request, live, key)
            .subscribe(
                claim -> onClaimed(request, live, span, claim),
                error -> reject(request, span, error));
  }

  private void onClaimed(
      HttpServerRequest request, LiveRequest live, Span span, IdempotencyClaims.Claim claim) {
    IdempotencyDecision decision = claim.decision();
    if (decision instanceof IdempotencyDecision.Replay replay) {
      replay(request, replay.answer());
      span.end();
    } else if (decision instanceof IdempotencyDecision.Reject rejected) {
      reject(request, span, rejected.failure().toException());
    } else {
      start(request, live, span, idempotencyClaims.observe(claim, request));
    }
  }

  private void start(
      HttpServerRequest request, LiveRequest live, Span span, ResponseObserver observer) {
    LiveExchange exchange = new LiveExchange(context, request, live, span, observer);
    exchange.start();
    // The key may have been withdrawn while the body was being read.
    exchange.abortUnlessGranted(tables);
  }

  private static void replay(HttpServerRequest request, IdempotencyRecord.Answer answer) {
    request
        .response()
        .setStatusCode(answer.status())
        .putHeader("Content-Type", answer.contentType())
        .putHeader("Idempotent-Replay", "true")
        .end(Buffer.buffer(answer.body().orElse("")));
  }

  private static void reject(HttpServerRequest request, Span span, Throwable cause) {
    HttpAnswers.problem(request, cause);
    span.end();
  }

  private static FailureException rejection(ErrorKind kind) {
    return Failure.notRun(kind, kind.title(), RETRY_AFTER_MILLIS).toException();
  }
}
