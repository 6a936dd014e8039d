package io.briarward.experiments.rollout;

/** A sample that is generated up to a length. Not thread-safe. */
final class VirtualAttempt {
  private final String id;
  private final int length;
  private double tokens;

  VirtualAttempt(String id, int resumedTokens, int length) {
    this.id = id;
    this.length = length;
    this.tokens = Math.min(resumedTokens, length - 1);
  }

  String id() {
    return id;
  }

  /** Returns the number of whole tokens that became complete. */
  int advance(double produced) {
    int before = (int) tokens;
    tokens = Math.min(length, tokens + produced);
    return (int) tokens - before;
  }

  boolean isFinished() {
    return tokens >= length;
  }
}
