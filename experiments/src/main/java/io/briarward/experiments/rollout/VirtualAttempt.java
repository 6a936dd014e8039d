package io.briarward.experiments.rollout;

/** An attempt that generates a sample of a given length. Not thread-safe. */
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

  /** Generates {@code produced} tokens and returns the number of newly completed whole tokens. */
  int advance(double produced) {
    int before = (int) tokens;
    tokens = Math.min(length, tokens + produced);
    return (int) tokens - before;
  }

  boolean isFinished() {
    return tokens >= length;
  }
}
