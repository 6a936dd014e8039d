package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * One node's view of the cluster membership.
 *
 * @param self the id of the node that holds this view
 * @param reachable the ids of the nodes that it can reach, including itself
 * @param listed the ids of all nodes that may be running, including the reachable ones
 */
public record Members(String self, ImmutableSet<String> reachable, ImmutableSet<String> listed) {
  /** Checks the fields. */
  public Members {
    checkNotNull(self, "self");
    checkArgument(
        reachable.contains(self), "reachable is %s, expected it to contain %s", reachable, self);
    checkArgument(
        listed.containsAll(reachable),
        "listed is %s, expected it to contain all of %s",
        listed,
        reachable);
  }

  /** Returns the coordinator of a limit, chosen by rendezvous hashing among reachable nodes. */
  String coordinatorOf(String limitId) {
    String best = self;
    long bestScore = score(limitId, self);
    for (String candidate : reachable) {
      long score = score(limitId, candidate);
      boolean better = score > bestScore || (score == bestScore && candidate.compareTo(best) < 0);
      if (better) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  /** Returns the fraction of every limit that the reachable nodes may divide among themselves. */
  double reachableFraction() {
    return (double) reachable.size() / listed.size();
  }

  private static long score(String limitId, String node) {
    return Hashing.farmHashFingerprint64()
        .hashString(limitId + "|" + node, StandardCharsets.UTF_8)
        .asLong();
  }
}
