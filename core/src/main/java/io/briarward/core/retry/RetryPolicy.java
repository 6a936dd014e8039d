package io.briarward.core.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.briarward.core.retry.RetryDecision.Reason;
import java.util.random.RandomGenerator;

/**
 * Decides whether to retry a failed attempt and whether to hedge a slow one.
 *
 * <p>A request of which nothing was sent may always be retried; a request that may have run, only
 * if it is idempotent. Only idempotent requests are hedged. Every additional attempt requires
 * enough time before the deadline and a token of the service's retry budget. Immutable and
 * thread-safe.
 *
 * @param maxAttempts the largest number of attempts of a request including the first, at least 1
 * @param baseDelayMillis the longest delay before the second attempt, doubled for each further
 *     attempt
 * @param maxDelayMillis the longest delay before any attempt
 */
public record RetryPolicy(int maxAttempts, long baseDelayMillis, long maxDelayMillis) {

  /** The policy used by nodes. */
  public static final RetryPolicy DEFAULT = new RetryPolicy(3, 25, 1_000);

  /** Checks the fields. */
  public RetryPolicy {
    checkArgument(maxAttempts >= 1, "maxAttempts is %s, expected >= 1", maxAttempts);
    checkArgument(baseDelayMillis >= 0, "baseDelayMillis is %s, expected >= 0", baseDelayMillis);
    checkArgument(
        maxDelayMillis >= baseDelayMillis,
        "maxDelayMillis is %s, expected >= %s",
        maxDelayMillis,
        baseDelayMillis);
  }

  /**
   * The state of a request whose attempt failed or is slow.
   *
   * @param log the attempts of the request, including the current one
   * @param answerStarted whether any part of a response was passed to the caller
   * @param dueAtMillis the deadline of the response
   * @param expectedMillis the expected duration of an attempt, 0 if unknown
   */
  public record FailedAttempt(
      AttemptLog log, boolean answerStarted, long dueAtMillis, long expectedMillis) {
    /** Checks the fields. */
    public FailedAttempt {
      checkNotNull(log, "log");
      checkArgument(expectedMillis >= 0, "expectedMillis is %s, expected >= 0", expectedMillis);
    }
  }

  /** Decides whether to retry a failed attempt, and takes a token of the budget if so. */
  public RetryDecision onFailure(
      FailedAttempt attempt, RetryBudget budget, RandomGenerator random, long nowMillis) {
    if (attempt.answerStarted()) {
      return new RetryDecision.GiveUp(Reason.ANSWER_STARTED);
    }
    if (!attempt.log().maySend()) {
      return new RetryDecision.GiveUp(Reason.MAY_HAVE_RUN);
    }
    if (attempt.log().attempts() >= maxAttempts) {
      return new RetryDecision.GiveUp(Reason.ATTEMPTS);
    }
    long delayMillis = delayMillis(attempt.log().attempts(), random);
    if (nowMillis + delayMillis + attempt.expectedMillis() >= attempt.dueAtMillis()) {
      return new RetryDecision.GiveUp(Reason.DUE_TIME);
    }
    return budget.tryTake()
        ? new RetryDecision.Retry(delayMillis)
        : new RetryDecision.GiveUp(Reason.BUDGET);
  }

  /**
   * Returns whether to hedge a slow attempt, and takes a token of the budget if so.
   *
   * @param hedgeAfterMillis the time after which an attempt counts as slow
   */
  public boolean shouldHedge(
      FailedAttempt attempt,
      RetryBudget budget,
      long startedAtMillis,
      long hedgeAfterMillis,
      long nowMillis) {
    boolean slow = nowMillis - startedAtMillis >= hedgeAfterMillis;
    boolean inTime = nowMillis + attempt.expectedMillis() < attempt.dueAtMillis();
    boolean allowed =
        attempt.log().idempotent()
            && !attempt.answerStarted()
            && attempt.log().attempts() < maxAttempts;
    return slow && inTime && allowed && budget.tryTake();
  }

  /** Returns a uniformly random delay from 0 to a bound that doubles with each attempt. */
  private long delayMillis(int attempts, RandomGenerator random) {
    int doublings = Math.min(Math.max(0, attempts - 1), 30);
    long boundMillis = Math.min(maxDelayMillis, baseDelayMillis << doublings);
    return boundMillis == 0 ? 0 : random.nextLong(boundMillis + 1);
  }
}
