package io.briarward.core.batch;

/**
 * Limits the reward calls that a node has in flight at an upstream.
 *
 * <p>The load is a service that answers live requests with short deadlines and the reward calls of
 * many texts that end at once. Reward calls have seconds left, live requests do not, so reward
 * calls leave slots free on each upstream. Live requests in flight count towards the limit.
 * Stateless and thread-safe.
 */
public final class RewardPacing {
  /** The share of an upstream's slots that reward calls may fill. */
  private static final double MAX_SLOT_SHARE = 0.5;

  private RewardPacing() {}

  /**
   * Returns whether a reward call may be sent to an upstream.
   *
   * @param inFlight the number of requests that this node has in flight there
   * @param slots the number of requests that the upstream runs concurrently
   */
  public static boolean hasRoom(int inFlight, int slots) {
    return inFlight < Math.max(1, (int) (slots * MAX_SLOT_SHARE));
  }
}
