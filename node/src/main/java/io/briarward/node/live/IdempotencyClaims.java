package io.briarward.node.live;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import io.briarward.core.errors.RunState;
import io.briarward.core.idempotency.IdempotencyDecision;
import io.briarward.core.idempotency.IdempotencyRecord;
import io.briarward.core.platform.CommitResult;
import io.briarward.core.platform.RowKey;
import io.briarward.core.platform.Transaction;
import io.briarward.node.platform.TableService;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import org.tinylog.Logger;

/**
 * Claims idempotency keys in the store, so that a request with such a key runs at most once across
 * all nodes.
 *
 * <p>Confined to the event loop.
 */
final class IdempotencyClaims {
  private static final int MAX_STORED_BODY_BYTES = 64 << 10;

  private final TableService tables;

  IdempotencyClaims(TableService tables) {
    this.tables = tables;
  }

  /** A request's own record for its idempotency key, and whether the request may run. */
  record Claim(RowKey row, IdempotencyRecord record, IdempotencyDecision decision) {}

  /** Claims the key of a request; the decision states whether the request may run. */
  Single<Claim> claim(HttpServerRequest request, LiveRequest live, String idempotencyKey) {
    IdempotencyRecord ownRecord =
        IdempotencyRecord.running(fingerprint(request, live), UUID.randomUUID().toString());
    RowKey row = IdempotencyRecord.rowKey(live.caller().organisation(), idempotencyKey);
    Transaction insert =
        Transaction.builder().requireAbsent(row).put(row, ownRecord.toJson()).build();
    return tables
        .commit(insert)
        .flatMap(result -> stored(result, row, ownRecord))
        .onErrorResumeNext(error -> readBack(row, error))
        .map(stored -> new Claim(row, ownRecord, IdempotencyDecision.decide(ownRecord, stored)));
  }

  /**
   * Returns an observer that stores the response, or releases the key if the request was not run.
   */
  ResponseObserver observe(Claim claim, HttpServerRequest request) {
    return new ResponseRecorder(claim, request);
  }

  private Single<IdempotencyRecord> stored(
      CommitResult result, RowKey row, IdempotencyRecord ownRecord) {
    return result.committed() ? Single.just(ownRecord) : read(row);
  }

  private Single<IdempotencyRecord> read(RowKey row) {
    return tables.read(row).map(found -> IdempotencyRecord.fromJson(found.orElseThrow().value()));
  }

  /**
   * Reads the row after a failed commit, since only the row shows whether the insert took effect.
   *
   * <p>Fails with {@code error} if the row cannot be read.
   */
  private Single<IdempotencyRecord> readBack(RowKey row, Throwable error) {
    return read(row).onErrorResumeNext(unused -> Single.error(error));
  }

  private static String fingerprint(HttpServerRequest request, LiveRequest live) {
    return Hashing.sha256()
        .newHasher()
        .putString(request.method().name(), StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(request.uri(), StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putBytes(live.body().orElseGet(Buffer::buffer).getBytes())
        .hash()
        .toString();
  }

  private final class ResponseRecorder implements ResponseObserver {
    private final Claim claim;
    private final HttpServerRequest request;
    private final Buffer body = Buffer.buffer();
    private boolean tooLarge;

    ResponseRecorder(Claim claim, HttpServerRequest request) {
      this.claim = claim;
      this.request = request;
    }

    @Override
    public void onChunk(Buffer chunk) {
      tooLarge |= body.length() + chunk.length() > MAX_STORED_BODY_BYTES;
      if (!tooLarge) {
        body.appendBuffer(chunk);
      }
    }

    @Override
    public Completable beforeLastChunk(int status) {
      Optional<String> storedBody = tooLarge ? Optional.empty() : Optional.of(body.toString());
      String contentType =
          Optional.ofNullable(request.response().headers().get("Content-Type")).orElse("");
      IdempotencyRecord.Answer answer =
          new IdempotencyRecord.Answer(status, contentType, storedBody);
      return write(claim.record().withAnswer(answer).toJson());
    }

    @Override
    public void onFailed(RunState runState) {
      if (runState == RunState.NOT_RUN) {
        Transaction delete = Transaction.builder().delete(claim.row()).build();
        var unused =
            tables
                .commit(delete)
                .subscribe(
                    done -> {},
                    error -> Logger.warn("idempotency key not released: {}", error.getMessage()));
      }
    }

    private Completable write(JsonNode value) {
      Transaction update = Transaction.builder().put(claim.row(), value).build();
      return tables
          .commit(update)
          .ignoreElement()
          .doOnError(
              error ->
                  Logger.warn(
                      "response not stored under its idempotency key: {}", error.getMessage()))
          .onErrorComplete();
    }
  }
}
