package io.briarward.core.membership;

/**
 * A factor that lengthens a node's time-outs when the node itself may be slow or disconnected.
 *
 * <p>The factor increases with each failed probe, decreases with each answer, and is set to its
 * maximum after a pause of the node. Not thread-safe.
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
