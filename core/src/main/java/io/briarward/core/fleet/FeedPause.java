package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long a node pauses between two reads of a table of which a row changes all the time.
 *
 * <p>Each registered upstream renews its row about once a second, so that a node that reads on at
 * once reads the table as often as the store responds. The pause grows with the number of nodes,
 * which share the store's reads and read the same rows.
 */
public final class FeedPause {
  /** The pause for each node; bounds the reads of up to 75 nodes together to 250 a second. */
  private static final long PER_NODE_MILLIS = 4;

  /** Short compared with the two seconds within which a change of a row must take effect. */
  private static final long MAX_MILLIS = 300;

  private static final long MIN_MILLIS = 20;

  private FeedPause() {}

  /**
   * Returns the pause, in milliseconds, of each node of a deployment.
   *
   * @param nodes the number of live nodes, > 0
   */
  public static long ofNodesMillis(int nodes) {
    checkArgument(nodes > 0, "nodes is %s, expected > 0", nodes);
    return Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, PER_NODE_MILLIS * nodes));
  }
}
