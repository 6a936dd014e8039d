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

/** Lets a request with an idempotency key run once over all nodes. */
final class IdempotentRuns {
  private static final int MAX_KEPT_BYTES = 64 << 10;

  private final TableService tables;

  IdempotentRuns(TableService tables) {
    this.tables = tables;
  }

  /** A request's claim on its key and what was decided of it. */
  record Claim(RowKey row, IdempotencyRecord record, IdempotencyDecision decision) {}

  /** Claims the key of a request; the decision tells whether it may run. */
  Single<Claim> claim(HttpServerRequest request, LiveRequest live, String idempotencyKey) {
    IdempotencyRecord mine =
        IdempotencyRecord.running(fingerprint(request, live), UUID.randomUUID().toString());
    RowKey row = IdempotencyRecord.rowKey(live.caller().organisation(), idempotencyKey);
    Transaction insert = Transaction.builder().requireAbsent(row).put(row, mine.toJson()).build();
    return tables
        .commit(insert)
        .flatMap(result -> stored(result, row, mine))
        .onErrorResumeNext(error -> readBack(row, error))
        .map(stored -> new Claim(row, mine, IdempotencyDecision.decide(mine, stored)));
  }

  /** Returns an observer that keeps the answer, or gives the key back when nothing ran. */
  AnswerObserver observe(Claim claim, HttpServerRequest request) {
    return new AnswerKeeper(claim, request);
  }

  private Single<IdempotencyRecord> stored(
      CommitResult result, RowKey row, IdempotencyRecord mine) {
    return result.committed() ? Single.just(mine) : read(row);
  }

  private Single<IdempotencyRecord> read(RowKey row) {
    return tables.read(row).map(found -> IdempotencyRecord.fromJson(found.orElseThrow().value()));
  }

  /** Resolves a lost answer: only the row itself tells whether the insert took effect. */
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

  private final class AnswerKeeper implements AnswerObserver {
    private final Claim claim;
    private final HttpServerRequest request;
    private final Buffer body = Buffer.buffer();
    private boolean tooLarge;

    AnswerKeeper(Claim claim, HttpServerRequest request) {
      this.claim = claim;
      this.request = request;
    }

    @Override
    public void chunk(Buffer chunk) {
      tooLarge |= body.length() + chunk.length() > MAX_KEPT_BYTES;
      if (!tooLarge) {
        body.appendBuffer(chunk);
      }
    }

    @Override
    public Completable beforeLastByte(int status) {
      Optional<String> kept = tooLarge ? Optional.empty() : Optional.of(body.toString());
      String contentType =
          Optional.ofNullable(request.response().headers().get("Content-Type")).orElse("");
      IdempotencyRecord.Answer answer = new IdempotencyRecord.Answer(status, contentType, kept);
      return write(claim.record().withAnswer(answer).toJson());
    }

    @Override
    public void failed(RunState runState) {
      if (runState == RunState.NOT_RUN) {
        Transaction delete = Transaction.builder().delete(claim.row()).build();
        var unused =
            tables
                .commit(delete)
                .subscribe(
                    done -> {},
                    error -> Logger.warn("idempotency key not given back: {}", error.getMessage()));
      }
    }

    private Completable write(JsonNode value) {
      Transaction update = Transaction.builder().put(claim.row(), value).build();
      return tables
          .commit(update)
          .ignoreElement()
          .doOnError(error -> Logger.warn("answer not kept: {}", error.getMessage()))
          .onErrorComplete();
    }
  }
}
