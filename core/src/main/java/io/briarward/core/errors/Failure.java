package io.briarward.core.errors;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * An operation's failure: its kind, a detail for people, whether the request ran and when to retry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind from the closed list
 * @param detail a sentence for people, without secrets
 * @param runState whether the request reached an upstream
 * @param retryAfterMillis when to come back, in milliseconds; present only for retryable kinds
 */
public record Failure(
    ErrorKind kind, String detail, RunState runState, Optional<Long> retryAfterMillis) {

  /** Checks the fields. */
  public Failure {
    checkNotNull(kind, "kind");
    checkNotNull(detail, "detail");
    checkNotNull(runState, "runState");
    checkNotNull(retryAfterMillis, "retryAfterMillis");
    checkArgument(
        retryAfterMillis.isEmpty() || kind.retryable(),
        "kind %s carries no retryAfterMillis",
        kind.label());
    checkArgument(
        retryAfterMillis.isEmpty() || retryAfterMillis.get() >= 0,
        "retryAfterMillis is %s, expected >= 0",
        retryAfterMillis);
  }

  /** Returns a failure of a request of which nothing was sent to any upstream. */
  public static Failure notRun(ErrorKind kind, String detail) {
    return new Failure(kind, detail, RunState.NOT_RUN, Optional.empty());
  }

  /** Returns a not-run failure that tells when to come back, in milliseconds. */
  public static Failure notRun(ErrorKind kind, String detail, long retryAfterMillis) {
    return new Failure(kind, detail, RunState.NOT_RUN, Optional.of(retryAfterMillis));
  }

  /** Returns a failure of a request that may have run. */
  public static Failure unknown(ErrorKind kind, String detail) {
    return new Failure(kind, detail, RunState.UNKNOWN, Optional.empty());
  }

  /** Returns a failure of a request that an upstream ran. */
  public static Failure ran(ErrorKind kind, String detail) {
    return new Failure(kind, detail, RunState.RAN, Optional.empty());
  }

  /** Returns this failure as an exception. */
  public FailureException toException() {
    return new FailureException(this);
  }
}
