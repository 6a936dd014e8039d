package io.briarward.core.membership;

/**
 * How far a node trusts its own failed probes, as a factor on its timeouts.
 *
 * <p>The factor grows when its probes fail or when it was itself paused, and shrinks with each
 * answer. Not thread-safe.
 */
final class LocalHealth {
  private static final int MAX_FACTOR = 4;

  private int factor = 1;

  void onAnswer() {
    factor = Math.max(1, factor - 1);
  }

  void onFailure() {
    factor = Math.min(MAX_FACTOR, factor + 1);
  }

  void onPause() {
    factor = MAX_FACTOR;
  }

  long scale(long millis) {
    return millis * factor;
  }
}
