package io.briarward.core.idempotency;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.RunState;
import java.util.Optional;

/** What a node does with a request whose idempotency key it has looked up. */
public sealed interface IdempotencyDecision {
  /** The request is this attempt's own: run it. */
  record Run() implements IdempotencyDecision {}

  /** The request ran before: give its first answer again. */
  record Replay(IdempotencyRecord.Answer answer) implements IdempotencyDecision {}

  /** The request may not run: give this failure. */
  record Refuse(Failure failure) implements IdempotencyDecision {}

  /**
   * How long a caller waits before it asks again for a request that still runs, in milliseconds.
   */
  long IN_PROGRESS_RETRY_MILLIS = 1_000;

  /**
   * Decides from the record that the table service holds after an insert was tried.
   *
   * @param mine the record this attempt tried to insert
   * @param stored the record found, which is {@code mine} when the insert took effect
   */
  static IdempotencyDecision decide(IdempotencyRecord mine, IdempotencyRecord stored) {
    if (!stored.fingerprint().equals(mine.fingerprint())) {
      return refuse(ErrorKind.IDEMPOTENCY_CONFLICT, RunState.NOT_RUN, Optional.empty());
    }
    if (stored.token().equals(mine.token())) {
      return new Run();
    }
    if (stored.answer().isEmpty()) {
      Optional<Long> retryAfterMillis = Optional.of(IN_PROGRESS_RETRY_MILLIS);
      return refuse(ErrorKind.IN_PROGRESS, RunState.UNKNOWN, retryAfterMillis);
    }
    return stored.answer().get().body().isPresent()
        ? new Replay(stored.answer().get())
        : refuse(ErrorKind.IDEMPOTENCY_CONFLICT, RunState.RAN, Optional.empty());
  }

  private static Refuse refuse(ErrorKind kind, RunState runState, Optional<Long> retryAfterMillis) {
    return new Refuse(new Failure(kind, kind.title(), runState, retryAfterMillis));
  }
}
