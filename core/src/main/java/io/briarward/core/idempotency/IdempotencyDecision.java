package io.briarward.core.idempotency;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.RunState;
import java.util.Optional;

/** The decision on how to handle a request with an idempotency key. */
public sealed interface IdempotencyDecision {
  /** Runs the request, whose record was inserted by this attempt. */
  record Run() implements IdempotencyDecision {}

  /** Returns the recorded answer to the first request with the key. */
  record Replay(IdempotencyRecord.Answer answer) implements IdempotencyDecision {}

  /** Rejects the request with a failure. */
  record Reject(Failure failure) implements IdempotencyDecision {}

  /** The delay in milliseconds after which a caller may retry a request that is still running. */
  long IN_PROGRESS_RETRY_MILLIS = 1_000;

  /**
   * Decides how to handle a request from the record stored after this attempt tried to insert its
   * own.
   *
   * @param mine the record that this attempt tried to insert
   * @param stored the record in the table service, which has the token of {@code mine} if the
   *     insert was applied
   */
  static IdempotencyDecision decide(IdempotencyRecord mine, IdempotencyRecord stored) {
    if (!stored.fingerprint().equals(mine.fingerprint())) {
      return reject(ErrorKind.IDEMPOTENCY_CONFLICT, RunState.NOT_RUN, Optional.empty());
    }
    if (stored.token().equals(mine.token())) {
      return new Run();
    }
    if (stored.answer().isEmpty()) {
      Optional<Long> retryAfterMillis = Optional.of(IN_PROGRESS_RETRY_MILLIS);
      return reject(ErrorKind.IN_PROGRESS, RunState.UNKNOWN, retryAfterMillis);
    }
    return stored.answer().get().body().isPresent()
        ? new Replay(stored.answer().get())
        : reject(ErrorKind.IDEMPOTENCY_CONFLICT, RunState.RAN, Optional.empty());
  }

  private static Reject reject(ErrorKind kind, RunState runState, Optional<Long> retryAfterMillis) {
    return new Reject(new Failure(kind, kind.title(), runState, retryAfterMillis));
  }
}
