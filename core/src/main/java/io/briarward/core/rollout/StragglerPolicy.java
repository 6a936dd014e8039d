package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides when a running attempt is a straggler and is hedged on another sampler.
 *
 * <p>The number of remaining tokens is estimated from the lengths of the samples that finished in
 * the same shard, or from the sample's own length if it is longer than most. An attempt is a
 * straggler if, at its recent speed, it would take more than {@code slowdown} times as long for the
 * remaining tokens as an attempt of median speed.
 *
 * @param extraAttemptShare the budget of extra attempts as a share of the samples, 0 to 1
 * @param slowdown the ratio of predicted times above which an attempt is a straggler, above 1
 * @param minGainMillis the predicted time saving that an extra attempt must exceed
 * @param stallMillis the time without a new token after which the speed of an attempt counts as 0
 */
public record StragglerPolicy(
    double extraAttemptShare, double slowdown, long minGainMillis, long stallMillis) {
  private static final double DEFAULT_SLOWDOWN = 2;
  private static final long DEFAULT_MIN_GAIN_MILLIS = 500;
  private static final long DEFAULT_STALL_MILLIS = 5_000;
  private static final double LENGTH_QUANTILE = 0.9;
  private static final double MIN_REMAINING_SHARE = 0.25;
  private static final int MIN_FINISHED_ATTEMPTS = 4;

  /** Validates the components. */
  public StragglerPolicy {
    checkArgument(
        extraAttemptShare >= 0 && extraAttemptShare <= 1,
        "extraAttemptShare is %s, expected 0 to 1",
        extraAttemptShare);
    checkArgument(slowdown > 1, "slowdown is %s, expected > 1", slowdown);
    checkArgument(minGainMillis >= 0, "minGainMillis is %s, expected >= 0", minGainMillis);
    checkArgument(stallMillis > 0, "stallMillis is %s, expected > 0", stallMillis);
  }

  /** Returns a policy with the given budget and the default limits. */
  public static StragglerPolicy of(double extraAttemptShare) {
    return new StragglerPolicy(
        extraAttemptShare, DEFAULT_SLOWDOWN, DEFAULT_MIN_GAIN_MILLIS, DEFAULT_STALL_MILLIS);
  }

  /** Returns the maximum number of extra attempts for {@code samples} samples. */
  int budget(int samples) {
    return (int) Math.floor(extraAttemptShare * samples);
  }

  boolean isStraggler(Attempt attempt, StepDistribution step, long nowMillis) {
    boolean enoughData = step.count() >= MIN_FINISHED_ATTEMPTS && step.medianTokensPerMillis() > 0;
    if (!enoughData || attempt.elapsedMillis(nowMillis) <= minGainMillis) {
      return false;
    }
    if (attempt.generatedTokens() == 0) {
      return attempt.millisSinceProgress(nowMillis) > stallMillis;
    }
    double medianAttemptMillis = remainingTokens(attempt, step) / step.medianTokensPerMillis();
    double thisAttemptMillis = remainingMillis(attempt, step, nowMillis);
    return thisAttemptMillis > slowdown * medianAttemptMillis
        && thisAttemptMillis - medianAttemptMillis > minGainMillis;
  }

  /** Returns the predicted time until the attempt finishes, infinite if it has stalled. */
  double remainingMillis(Attempt attempt, StepDistribution step, long nowMillis) {
    boolean stalled = attempt.millisSinceProgress(nowMillis) > stallMillis;
    double speed = stalled ? 0 : attempt.tokensPerMillis(nowMillis);
    return remainingTokens(attempt, step) / speed;
  }

  private static double remainingTokens(Attempt attempt, StepDistribution step) {
    int tokens = attempt.tokens();
    double expected =
        Math.max(step.tokensQuantile(LENGTH_QUANTILE) - tokens, MIN_REMAINING_SHARE * tokens);
    int maxRemaining = attempt.sample().sampling().maxTokens() - tokens;
    return Math.max(1, Math.min(maxRemaining, expected));
  }
}
