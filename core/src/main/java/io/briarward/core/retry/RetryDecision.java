package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.Function;

/** A decision whether to retry a failed attempt. */
public sealed interface RetryDecision {

  /** Applies the function that matches this decision and returns its value. */
  <T> T match(Function<Retry, T> onRetry, Function<GiveUp, T> onGiveUp);

  /**
   * Retry the request.
   *
   * @param delayMillis the delay before the retry, in milliseconds
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
   * Return the failure to the caller.
   *
   * @param reason the reason for not retrying
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

  /** The reason for not retrying a request. */
  enum Reason {
    /** The request may have run and is not idempotent. */
    MAY_HAVE_RUN,
    /** A retry is not expected to complete before the deadline. */
    DUE_TIME,
    /** The maximum number of attempts is reached. */
    ATTEMPTS,
    /** The retry budget of the service is exhausted. */
    BUDGET,
    /** Part of a response was passed on, and another response cannot be appended to it. */
    ANSWER_STARTED
  }
}
