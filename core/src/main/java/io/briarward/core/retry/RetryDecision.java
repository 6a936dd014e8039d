package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Function;

/** Whether a failed attempt is repeated. */
public sealed interface RetryDecision {

  /** Returns the value of the function that matches this decision. */
  <T> T match(Function<Retry, T> onRetry, Function<GiveUp, T> onGiveUp);

  /**
   * The request is attempted again.
   *
   * @param delayMillis how long to wait before it, in milliseconds
   */
  record Retry(long delayMillis) implements RetryDecision {
    /** Checks the field. */
    public Retry {
      checkArgument(delayMillis >= 0, "delayMillis is %s, expected >= 0", delayMillis);
    }

    @Override
    public <T> T match(Function<Retry, T> onRetry, Function<GiveUp, T> onGiveUp) {
      return onRetry.apply(this);
    }
  }

  /**
   * The failure is passed on.
   *
   * @param reason why the request is not attempted again
   */
  record GiveUp(Reason reason) implements RetryDecision {
    /** Checks the field. */
    public GiveUp {
      checkNotNull(reason, "reason");
    }

    @Override
    public <T> T match(Function<Retry, T> onRetry, Function<GiveUp, T> onGiveUp) {
      return onGiveUp.apply(this);
    }
  }

  /** Why a request is not attempted again. */
  enum Reason {
    /** It may have run and is not idempotent. */
    MAY_HAVE_RUN,
    /** An answer could not arrive within the due time. */
    DUE_TIME,
    /** It was attempted as often as allowed. */
    ATTEMPTS,
    /** Too large a share of the requests is being repeated. */
    BUDGET,
    /** Part of the answer was passed on, and another could not be joined to it. */
    ANSWER_STARTED
  }
}
