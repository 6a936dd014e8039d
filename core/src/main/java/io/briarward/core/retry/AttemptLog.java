package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkState;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.RunState;
import java.util.Optional;

/**
 * Tracks the attempts of one request and whether the request may have run.
 *
 * <p>Call {@link #onAttempt} before an upstream is contacted, and {@link #onSending} before the
 * first byte is written to a connection: the request may run after that even if the connection is
 * lost immediately. Not thread-safe: confined to one event loop.
 */
public final class AttemptLog {
  private final boolean idempotent;
  private int attempts;
  private boolean sent;
  private boolean answered;

  private AttemptLog(boolean idempotent) {
    this.idempotent = idempotent;
  }

  /**
   * Creates a log for a request without attempts.
   *
   * @param idempotent whether the request may run more than once
   */
  public static AttemptLog create(boolean idempotent) {
    return new AttemptLog(idempotent);
  }

  /** Returns whether the request may run more than once. */
  public boolean idempotent() {
    return idempotent;
  }

  /**
   * Returns whether the request may be sent to an upstream now.
   *
   * <p>A request that is not idempotent is sent at most once, since nothing proves that a request
   * did not run once bytes of it were written to a connection.
   */
  public boolean maySend() {
    return idempotent || !sent;
  }

  /** Records the start of an attempt, before anything is sent. */
  public void onAttempt() {
    attempts++;
  }

  /**
   * Records that bytes of the request are about to be sent.
   *
   * @throws IllegalStateException if {@link #maySend} returns false
   */
  public void onSending() {
    checkState(maySend(), "cannot send again: the request may have run and is not idempotent");
    sent = true;
  }

  /**
   * Records that an upstream returned a complete response.
   *
   * @throws IllegalStateException if nothing was sent
   */
  public void onAnswered() {
    checkState(sent, "cannot record a response: nothing was sent");
    answered = true;
  }

  /** Returns the number of attempts started. */
  public int attempts() {
    return attempts;
  }

  /** Returns the run state that follows from what was sent and received. */
  public RunState runState() {
    if (answered) {
      return RunState.RAN;
    }
    return sent ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  /** Returns a failure with the run state of the request. */
  public Failure failure(ErrorKind kind, String detail, Optional<Long> retryAfterMillis) {
    return new Failure(kind, detail, runState(), retryAfterMillis);
  }
}
