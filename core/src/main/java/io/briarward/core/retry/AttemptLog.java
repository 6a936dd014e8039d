package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkState;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.RunState;
import java.util.Optional;

/**
 * The attempts made for one request, and so what may be stated about it.
 *
 * <p>Call {@link #onAttempt} before an upstream is contacted, and {@link #onSending} before the
 * first byte is handed to a connection: a request that was handed over may run even if the
 * connection breaks at once. Confined to one event loop.
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
   * Creates the log of a request that has not been attempted.
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
   * Returns whether a byte may be sent to an upstream now.
   *
   * <p>A request that is not idempotent is sent once: nothing proves that bytes handed to a
   * connection did not run.
   */
  public boolean maySend() {
    return idempotent || !sent;
  }

  /** Records that an attempt starts, of which nothing is sent yet. */
  public void onAttempt() {
    attempts++;
  }

  /**
   * Records that bytes are about to be sent.
   *
   * @throws IllegalStateException if {@link #maySend} is false
   */
  public void onSending() {
    checkState(maySend(), "the request may have run and is not idempotent");
    sent = true;
  }

  /** Records that an upstream gave a whole answer. */
  public void onAnswered() {
    checkState(sent, "nothing was sent");
    answered = true;
  }

  /** Returns how many attempts were started. */
  public int attempts() {
    return attempts;
  }

  /** Returns what may be stated about the request. */
  public RunState runState() {
    if (answered) {
      return RunState.RAN;
    }
    return sent ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  /** Returns a failure that states truthfully whether the request ran. */
  public Failure failure(ErrorKind kind, String detail, Optional<Long> retryAfterMillis) {
    return new Failure(kind, detail, runState(), retryAfterMillis);
  }
}
