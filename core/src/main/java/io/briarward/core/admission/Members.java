package io.briarward.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The nodes as one of them sees them.
 *
 * @param self the id of the node whose view this is
 * @param reachable the ids of the nodes that it can reach, itself included
 * @param listed the ids of all nodes that may be running, the reachable ones included
 */
public record Members(String self, ImmutableSet<String> reachable, ImmutableSet<String> listed) {
  /** Checks the fields. */
  public Members {
    checkNotNull(self, "self");
    checkArgument(reachable.contains(self), "reachable is %s, expected %s in it", reachable, self);
    checkArgument(
        listed.containsAll(reachable), "listed is %s, expected all of %s", listed, reachable);
  }

  /** Returns the node that divides a limit, by rendezvous hashing among the reachable ones. */
  String homeOf(String limitId) {
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

  /** Returns the part of every limit that this view's reachable nodes may divide. */
  double reachableFraction() {
    return (double) reachable.size() / listed.size();
  }

  private static long score(String limitId, String node) {
    return Hashing.farmHashFingerprint64()
        .hashString(limitId + "|" + node, StandardCharsets.UTF_8)
        .asLong();
  }
}
