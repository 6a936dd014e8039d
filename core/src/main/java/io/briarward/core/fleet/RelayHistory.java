package io.briarward.core.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the nodes that are asked to run a request of this node.
 *
 * <p>A node may not know yet that it is cut off itself. So a node that ran a request lately is
 * preferred to one that was not asked, and one that failed lately is asked only if there is no
 * other. Not thread-safe.
 *
 * @param <N> identifies a node
 */
public final class RelayHistory<N> {
  /**
   * How long a result counts, in milliseconds; about the time in which a node learns that it is cut
   * off and the others read so.
   */
  private static final long RESULT_MILLIS = 3_000;

  private final Map<N, Result> results = new HashMap<>();

  private record Result(boolean ran, long atMillis) {}

  private RelayHistory() {}

  /** Creates a history without results. */
  public static <N> RelayHistory<N> create() {
    return new RelayHistory<>();
  }

  /** Handles a request that a node ran, or that it rejected or left without response. */
  public void onResult(N node, boolean ran, long nowMillis) {
    checkNotNull(node, "node");
    results.put(node, new Result(ran, nowMillis));
    results.values().removeIf(result -> isOld(result, nowMillis));
  }

  /** Returns the candidates among which to choose at random; empty only if there are none. */
  public ImmutableList<N> best(ImmutableList<N> candidates, long nowMillis) {
    ImmutableList<N> proven =
        candidates.stream()
            .filter(node -> rank(node, nowMillis) > 0)
            .collect(ImmutableList.toImmutableList());
    if (!proven.isEmpty()) {
      return proven;
    }
    ImmutableList<N> untried =
        candidates.stream()
            .filter(node -> rank(node, nowMillis) == 0)
            .collect(ImmutableList.toImmutableList());
    return untried.isEmpty() ? candidates : untried;
  }

  /** Returns 1 for a node that ran a request lately, -1 for one that failed, 0 otherwise. */
  private int rank(N node, long nowMillis) {
    Result result = results.get(node);
    if (result == null || isOld(result, nowMillis)) {
      return 0;
    }
    return result.ran() ? 1 : -1;
  }

  private static boolean isOld(Result result, long nowMillis) {
    return nowMillis - result.atMillis() > RESULT_MILLIS;
  }
}
