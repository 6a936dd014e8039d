package io.briarward.core.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When a running attempt is slow enough for a second attempt on another sampler.
 *
 * <p>The remaining work is estimated from the lengths of the samples that finished in the same
 * step, and for a sample longer than most from its own length. An attempt is a straggler when at
 * its recent speed it would need more than {@code slowdown} times as long for that work as an
 * attempt of median speed.
 *
 * @param extraAttemptShare the budget of extra attempts as a share of the samples, 0 to 1
 * @param slowdown the ratio of predicted times above which an attempt is a straggler, above 1
 * @param minGainMillis the least predicted saving worth an extra attempt
 * @param stallMillis an attempt that produced nothing for so long has no speed
 */
public record StragglerPolicy(
    double extraAttemptShare, double slowdown, long minGainMillis, long stallMillis) {
  private static final double DEFAULT_SLOWDOWN = 2;
  private static final long DEFAULT_MIN_GAIN_MILLIS = 500;
  private static final long DEFAULT_STALL_MILLIS = 5_000;
  private static final double LENGTH_QUANTILE = 0.9;
  private static final double RESIDUAL_SHARE = 0.25;
  private static final int MIN_FINISHED = 4;

  /** Checks the fields. */
  public StragglerPolicy {
    checkArgument(
        extraAttemptShare >= 0 && extraAttemptShare <= 1,
        "extraAttemptShare is %s, expected 0 to 1",
        extraAttemptShare);
    checkArgument(slowdown > 1, "slowdown is %s, expected > 1", slowdown);
    checkArgument(minGainMillis >= 0, "minGainMillis is %s, expected >= 0", minGainMillis);
    checkArgument(stallMillis > 0, "stallMillis is %s, expected > 0", stallMillis);
  }

  /** Returns a policy with the given budget and default limits. */
  public static StragglerPolicy of(double extraAttemptShare) {
    return new StragglerPolicy(
        extraAttemptShare, DEFAULT_SLOWDOWN, DEFAULT_MIN_GAIN_MILLIS, DEFAULT_STALL_MILLIS);
  }

  /** Returns how many extra attempts a step of {@code samples} samples may start. */
  int budget(int samples) {
    return (int) Math.ceil(extraAttemptShare * samples);
  }

  boolean isStraggler(Attempt attempt, StepDistribution step, long nowMillis) {
    boolean known = step.count() >= MIN_FINISHED && step.medianTokensPerMillis() > 0;
    if (!known || attempt.elapsedMillis(nowMillis) <= minGainMillis) {
      return false;
    }
    if (attempt.ownTokens() == 0) {
      return attempt.silentMillis(nowMillis) > stallMillis;
    }
    double elsewhereMillis = remainingTokens(attempt, step) / step.medianTokensPerMillis();
    double hereMillis = remainingMillis(attempt, step, nowMillis);
    return hereMillis > slowdown * elsewhereMillis && hereMillis - elsewhereMillis > minGainMillis;
  }

  /** Returns the predicted time until the attempt ends, infinite for one that has stalled. */
  double remainingMillis(Attempt attempt, StepDistribution step, long nowMillis) {
    boolean stalled = attempt.silentMillis(nowMillis) > stallMillis;
    double speed = stalled ? 0 : attempt.tokensPerMillis(nowMillis);
    return remainingTokens(attempt, step) / speed;
  }

  private static double remainingTokens(Attempt attempt, StepDistribution step) {
    int tokens = attempt.tokens();
    double expected =
        Math.max(step.tokensQuantile(LENGTH_QUANTILE) - tokens, RESIDUAL_SHARE * tokens);
    int most = attempt.sample().sampling().maxTokens() - tokens;
    return Math.max(1, Math.min(most, expected));
  }
}
