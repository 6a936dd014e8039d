package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkState;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.Failure;
import io.briarward.core.errors.RunState;
import java.util.Optional;

/**
 * The attempts made for one request, and so what may be stated about it.
 *
 * <p>Call {@link #onSending} before a connection is asked for: a request that was handed to one may
 * run even if the connection breaks at once. Then call exactly one of {@link #onNothingSent},
 * {@link #onBrokenOff} and {@link #onAnswered}. Confined to one event loop.
 */
public final class AttemptLog {
  private final boolean idempotent;
  private int attempts;
  private int unsettled;
  private int maybeRan;
  private boolean ran;

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
   * <p>It guards against every caller's mistake: a request that is not idempotent is never sent
   * while an earlier attempt may have run.
   */
  public boolean maySend() {
    return idempotent || (maybeRan == 0 && unsettled == 0 && !ran);
  }

  /**
   * Records that bytes are about to be sent.
   *
   * @throws IllegalStateException if {@link #maySend} is false
   */
  public void onSending() {
    checkState(maySend(), "the request may have run and is not idempotent");
    attempts++;
    unsettled++;
  }

  /** Records that the attempt in progress broke off after bytes were sent. */
  public void onBrokenOff() {
    settle();
    maybeRan++;
  }

  /** Records that the connection proved that no byte of the attempt in progress was sent. */
  public void onNothingSent() {
    settle();
  }

  /** Records that the upstream answered the attempt in progress, whatever the answer. */
  public void onAnswered() {
    settle();
    ran = true;
  }

  private void settle() {
    checkState(unsettled > 0, "no attempt is in progress");
    unsettled--;
  }

  /** Returns how many attempts were started. */
  public int attempts() {
    return attempts;
  }

  /** Returns what may be stated about the request. */
  public RunState runState() {
    if (ran) {
      return RunState.RAN;
    }
    boolean nothingSent = maybeRan == 0 && unsettled == 0;
    return nothingSent ? RunState.NOT_RUN : RunState.UNKNOWN;
  }

  /** Returns a failure that states truthfully whether the request ran. */
  public Failure failure(ErrorKind kind, String detail, Optional<Long> retryAfterMillis) {
    return new Failure(kind, detail, runState(), retryAfterMillis);
  }
}
