package io.briarward.core.batch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long runs took of late in relation to the estimates of their lengths.
 *
 * <p>Callers' estimates are accurate only in the middle and lengths differ a hundredfold, so the
 * ratio is taken from the sums of many runs. Until a run has completed, runs count as taking no
 * time. Not thread-safe.
 */
public final class RunPace {
  /** Half of the weight lies on the latest 34 runs, about a quarter of a batch. */
  private static final double DECAY = 0.98;

  private double tokens;
  private double events;
  private double millis;

  private RunPace() {}

  /** Creates a pace without runs. */
  public static RunPace create() {
    return new RunPace();
  }

  /**
   * Handles the regular end of a run that began with the first event.
   *
   * @param expectedTokens the estimate of the number of generated tokens, 0 if unknown
   */
  public void onCompleted(long expectedTokens, int runEvents, long tookMillis) {
    checkArgument(expectedTokens >= 0, "expectedTokens is %s, expected >= 0", expectedTokens);
    if (expectedTokens > 0) {
      tokens = tokens * DECAY + expectedTokens;
      events = events * DECAY + Math.max(0, runEvents);
      millis = millis * DECAY + Math.max(0, tookMillis);
    }
  }

  /** Returns the time that a run takes for each token of its estimate, in milliseconds. */
  public double millisPerToken() {
    return tokens > 0 ? millis / tokens : 0;
  }

  /** Returns the number of events of a run for each token of its estimate, 0 if unknown. */
  public double eventsPerToken() {
    return tokens > 0 ? events / tokens : 0;
  }

  /**
   * Returns the number of tokens of its estimate that the rest of an item stands for.
   *
   * <p>An item that has generated more than two thirds of its estimate is expected to generate half
   * as much again, since the longer a text is, the longer its rest is on average.
   *
   * @param expectedTokens the estimate of the number of tokens of the whole item
   * @param receivedEvents the number of events received so far
   */
  public double remainingTokens(long expectedTokens, int receivedEvents) {
    double received = eventsPerToken() > 0 ? receivedEvents / eventsPerToken() : 0;
    return Math.max(expectedTokens - received, received / 2);
  }

  /** Returns the time that a number of tokens is expected to need, in milliseconds. */
  public long neededMillis(double estimatedTokens) {
    return Math.round(estimatedTokens * millisPerToken());
  }
}
