package io.briarward.core.usage;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Amounts of usage; each is at least 0.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requests the number of requests answered by their deadline
 * @param weightedThousandths the sum of the weights of these requests, in thousandths; the weight
 *     of a request depends on its kind
 * @param promptTokens the number of prompt tokens
 * @param completionTokens the number of generated tokens
 * @param upstreamMillis the time spent by upstreams, in milliseconds
 */
public record UsageAmounts(
    long requests,
    long weightedThousandths,
    long promptTokens,
    long completionTokens,
    long upstreamMillis) {
  /** No usage. */
  public static final UsageAmounts ZERO = new UsageAmounts(0, 0, 0, 0, 0);

  /** Checks the fields. */
  public UsageAmounts {
    checkArgument(requests >= 0, "requests is %s, expected >= 0", requests);
    checkArgument(
        weightedThousandths >= 0, "weightedThousandths is %s, expected >= 0", weightedThousandths);
    checkArgument(promptTokens >= 0, "promptTokens is %s, expected >= 0", promptTokens);
    checkArgument(completionTokens >= 0, "completionTokens is %s, expected >= 0", completionTokens);
    checkArgument(upstreamMillis >= 0, "upstreamMillis is %s, expected >= 0", upstreamMillis);
  }

  /** Returns the sum of each amount. */
  public UsageAmounts plus(UsageAmounts other) {
    return new UsageAmounts(
        requests + other.requests,
        weightedThousandths + other.weightedThousandths,
        promptTokens + other.promptTokens,
        completionTokens + other.completionTokens,
        upstreamMillis + other.upstreamMillis);
  }

  /** Returns the maximum of each amount, which merges two values of one cumulative counter. */
  public UsageAmounts join(UsageAmounts other) {
    return new UsageAmounts(
        Math.max(requests, other.requests),
        Math.max(weightedThousandths, other.weightedThousandths),
        Math.max(promptTokens, other.promptTokens),
        Math.max(completionTokens, other.completionTokens),
        Math.max(upstreamMillis, other.upstreamMillis));
  }

  /**
   * Returns the increase of a cumulative counter since an earlier value.
   *
   * @throws IllegalArgumentException if some amount of {@code earlier} is larger
   */
  public UsageAmounts minus(UsageAmounts earlier) {
    return new UsageAmounts(
        requests - earlier.requests,
        weightedThousandths - earlier.weightedThousandths,
        promptTokens - earlier.promptTokens,
        completionTokens - earlier.completionTokens,
        upstreamMillis - earlier.upstreamMillis);
  }
}
