package io.briarward.core.errors;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * A failed operation: its kind, a human-readable detail, whether the request ran and when to retry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of the error
 * @param detail a human-readable sentence without secrets
 * @param runState whether the request ran on an upstream
 * @param retryAfterMillis the time to wait before a retry, in milliseconds; present only for
 *     retryable kinds
 */
public record Failure(
    ErrorKind kind, String detail, RunState runState, Optional<Long> retryAfterMillis) {

  /** Validates the components. */
  public Failure {
    checkNotNull(kind, "kind");
    checkNotNull(detail, "detail");
    checkNotNull(runState, "runState");
    checkNotNull(retryAfterMillis, "retryAfterMillis");
    checkArgument(
        retryAfterMillis.isEmpty() || kind.retryable(),
        "retryAfterMillis is present, but kind %s is not retryable",
        kind.label());
    checkArgument(
        retryAfterMillis.isEmpty() || retryAfterMillis.get() >= 0,
        "retryAfterMillis is %s, expected >= 0",
        retryAfterMillis);
  }

  /** Returns the failure of a request of which nothing was sent to any upstream. */
  public static Failure notRun(ErrorKind kind, String detail) {
    return new Failure(kind, detail, RunState.NOT_RUN, Optional.empty());
  }

  /** Returns the failure of a request that did not run and may be retried after the given time. */
  public static Failure notRun(ErrorKind kind, String detail, long retryAfterMillis) {
    return new Failure(kind, detail, RunState.NOT_RUN, Optional.of(retryAfterMillis));
  }

  /** Returns the failure of a request that may have run. */
  public static Failure unknown(ErrorKind kind, String detail) {
    return new Failure(kind, detail, RunState.UNKNOWN, Optional.empty());
  }

  /** Returns the failure of a request that an upstream ran. */
  public static Failure ran(ErrorKind kind, String detail) {
    return new Failure(kind, detail, RunState.RAN, Optional.empty());
  }

  /** Returns this failure as an exception. */
  public FailureException toException() {
    return new FailureException(this);
  }
}
